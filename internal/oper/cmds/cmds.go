// Package cmds implements the command line of bramleycove, with one type and one file per command.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/goccy/go-json"

	"github.com/bramleycove/bramleycove/internal/oper/audit"
	"github.com/bramleycove/bramleycove/internal/oper/config"
	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
	"github.com/bramleycove/bramleycove/internal/oper/opapi"
	"github.com/bramleycove/bramleycove/internal/oper/pubsvc"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFaults      = 1 // invalid tables or settings, or another failure
	ExitUsage       = 2 // also a file that check-platform can't read
	ExitConflict    = 3 // another version was accepted on the same base
	ExitUnconfirmed = 4 // accepted, but not every instance has confirmed it
	ExitPlatform    = 5 // log, list or instance unreachable
)

// App runs commands. Fields that a command uses must be set.
type App struct {
	Stdout, Stderr io.Writer
	Version        string
	// Serve runs an instance until ctx ends and returns nil after a graceful stop.
	Serve func(ctx context.Context, cfg *config.Config) error
	// ServeOnPlatform runs an instance on the users' platform, with the settings file named by the environment.
	ServeOnPlatform func(ctx context.Context) error
	// CheckPlatform checks a configuration of the users' platform, and compares it with the one in force unless that is nil.
	// It fails only if the one in force is invalid.
	CheckPlatform func(document, inForce []byte, o audit.Options) (*audit.Report, error)
	// NewService returns the publishing service for this log and list.
	NewService func(logAddr, list netip.AddrPort) *pubsvc.Service
	// Explain queries the operator interface at addr.
	Explain func(ctx context.Context, addr netip.AddrPort, method, path, key string) (opapi.Explanation, error)
}

// New returns an app that uses the real platform. ServeOnPlatform and CheckPlatform are not set.
func New(stdout, stderr io.Writer, version string, serve func(context.Context, *config.Config) error) *App {
	return &App{
		Stdout: stdout, Stderr: stderr, Version: version, Serve: serve,
		NewService: pubsvc.New, Explain: opapi.NewClient().Explain,
	}
}

// grammar declares the commands for kong, in the order of --help.
type grammar struct {
	Serve         serveCommand         `cmd:"" help:"Run an instance until it is told to stop."`
	Platform      platformCommand      `cmd:"" help:"Run an instance on the users' platform until it is told to stop."`
	Check         checkCommand         `cmd:"" help:"Check tables and settings without the platform."`
	CheckPlatform checkPlatformCommand `cmd:"" help:"Check a configuration of the users' platform before it is published."`
	Publish       publishCommand       `cmd:"" help:"Put new tables in force."`
	Diff          diffCommand          `cmd:"" help:"Show what changes between two versions of the tables."`
	Status        statusCommand        `cmd:"" help:"Show the status of the instances."`
	Explain       explainCommand       `cmd:"" help:"Show where a request would go and why."`
	Version       versionCommand       `cmd:"" help:"Show the version of this program."`
}

// parserExit is the exit code with which the parser's exit function panics to end parsing after --help.
type parserExit int

// Run runs the command in args (without the program name) and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) (code int) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case parserExit:
			code = int(r)
		default:
			panic(r)
		}
	}()
	parser, err := kong.New(new(grammar),
		kong.Name("bramleycove"),
		kong.Description("Request router for backend servers that own keys exclusively."),
		kong.Writers(a.Stdout, a.Stderr),
		kong.Exit(func(code int) { panic(parserExit(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err != nil {
		return a.reportError(err)
	}
	command, err := parser.Parse(args)
	if err != nil {
		return a.reportError(&usageError{err.Error()})
	}
	if err := command.Run(a); err != nil {
		return a.reportError(err)
	}
	return ExitOK
}

// usageError reports invalid arguments.
type usageError struct{ message string }

// Error returns the message and refers to --help.
func (e *usageError) Error() string { return e.message + " (see --help)" }

// inputError reports a file without which a command can't run.
type inputError struct{ cause error }

// Error returns the cause.
func (e *inputError) Error() string { return e.cause.Error() }

// unconfirmedError reports that an accepted version is not confirmed by every instance.
type unconfirmedError struct {
	version   uint64
	instances []string
	cause     error // set if the list of instances could not be read
}

// Error names the unconfirmed instances or the cause.
func (e *unconfirmedError) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("version %d is accepted, but not confirmed, because the list of instances could not be read: %v", e.version, e.cause)
	}
	return fmt.Sprintf("version %d is accepted, but not confirmed by %s", e.version, strings.Join(e.instances, ", "))
}

// reportError prints err and its faults and returns the exit code.
func (a *App) reportError(err error) int {
	if faults := new(pubsvc.FaultsError); errors.As(err, &faults) {
		a.printFaults(faults.Faults)
	}
	fmt.Fprintln(a.Stderr, "bramleycove:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case errors.As(err, new(*usageError)), errors.As(err, new(*inputError)), errors.As(err, new(*pubsvc.VersionNotFoundError)):
		return ExitUsage
	case errors.As(err, new(*pubsvc.ConflictError)):
		return ExitConflict
	case errors.As(err, new(*unconfirmedError)):
		return ExitUnconfirmed
	case errors.As(err, new(*pubsvc.PlatformError)):
		return ExitPlatform
	}
	return ExitFaults
}

func (a *App) printFaults(faults []jsonc.Fault) {
	for _, f := range faults {
		fmt.Fprintln(a.Stderr, f)
	}
}

// printJSON writes v to Stdout as indented JSON.
func (a *App) printJSON(v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.Stdout, "%s\n", data)
	return err
}

// loadSettings reads the settings file. It prints warnings and returns faults as an error.
func (a *App) loadSettings(path string) (*config.Config, error) {
	cfg, faults := config.Load(path)
	if cfg == nil {
		return nil, &pubsvc.FaultsError{Faults: faults}
	}
	a.printFaults(faults)
	return cfg, nil
}

// publishingService returns the publishing service for the log and list in the settings file.
func (a *App) publishingService(path string) (*pubsvc.Service, error) {
	cfg, err := a.loadSettings(path)
	if err != nil {
		return nil, err
	}
	return a.NewService(cfg.LogAddr, cfg.ListAddr), nil
}
