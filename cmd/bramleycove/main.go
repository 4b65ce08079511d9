// Command bramleycove is the daemon that runs on every instance, and the operator's command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/bramleycove/bramleycove/internal/oper/cmds"
	"github.com/bramleycove/bramleycove/internal/oper/daemon"
	"github.com/bramleycove/bramleycove/platform"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	app := cmds.New(os.Stdout, os.Stderr, version(), daemon.Run)
	app.ServeOnPlatform, app.CheckPlatform = platform.Run, platform.Check
	code := app.Run(ctx, os.Args[1:])
	cancel()
	os.Exit(code)
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(devel)"
}
