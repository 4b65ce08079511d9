package cmds

import (
	"context"
	"fmt"
	"net/netip"
	"text/tabwriter"

	"github.com/bramleycove/bramleycove/internal/oper/opapi"
	"github.com/bramleycove/bramleycove/internal/oper/pubsvc"
)

type explainCommand struct {
	Settings string         `placeholder:"FILE" help:"Settings of the instance to ask."`
	Admin    netip.AddrPort `placeholder:"IP:PORT" help:"Operator interface to ask instead."`
	Path     string         `required:"" help:"Path of the request."`
	Method   string         `default:"GET" help:"Method of the request."`
	Key      string         `help:"Key, where the route does not take it from the path."`
	JSON     bool           `name:"json" help:"Write JSON."`
}

// Run asks one instance and prints its answer.
func (c *explainCommand) Run(ctx context.Context, a *App) error {
	addr := c.Admin
	if !addr.IsValid() {
		if c.Settings == "" {
			return &usageError{"give --settings or --admin"}
		}
		cfg, err := a.loadSettings(c.Settings)
		if err != nil {
			return err
		}
		addr = cfg.AdminAddr
	}
	if addr.Port() == 0 {
		return &usageError{"the settings give no fixed port for the operator interface; give --admin"}
	}
	e, err := a.Explain(ctx, addr, c.Method, c.Path, c.Key)
	if err != nil {
		return &pubsvc.PlatformError{Cause: err}
	}
	if c.JSON {
		return a.printJSON(e)
	}
	return printExplanation(a, &e)
}

func printExplanation(a *App, e *opapi.Explanation) error {
	w := tabwriter.NewWriter(a.Stdout, 0, 0, 2, ' ', 0)
	printLine := func(name string, value any) { fmt.Fprintf(w, "%s\t%v\n", name, value) }
	if e.Route != "" {
		printLine("route", e.Route)
		printLine("rank", e.Rank)
		printLine("pool", e.Pool)
	}
	if e.Key != "" {
		printLine("key", e.Key)
		printLine("slot", e.Slot)
		printLine("home", e.Home)
		printLine("owner", e.Owner)
		printLine("token", e.Token)
	}
	if e.Lane != "" {
		printLine("lane", e.Lane)
		printLine("dispatcher", e.Dispatcher)
	}
	if e.Reason != "" {
		printLine("refused", e.Reason)
	}
	return w.Flush()
}
