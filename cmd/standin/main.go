// Command standin simulates the platform in tests: log service, instance list and backend servers.
package main

import (
	"os"

	"github.com/bramleycove/bramleycove/internal/stand/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr)) }
