package cmds

import (
	"context"
	"fmt"
	"net/netip"
	"text/tabwriter"

	"github.com/bramleycove/bramleycove/internal/oper/pubsvc"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
)

type statusCommand struct {
	Settings string           `required:"" placeholder:"FILE" help:"Settings that name the list."`
	Admin    []netip.AddrPort `placeholder:"IP:PORT" help:"Ask these operator interfaces instead of all instances of the list."`
	JSON     bool             `name:"json" help:"Write JSON."`
}

// Run prints the status of each instance.
func (c *statusCommand) Run(ctx context.Context, a *App) error {
	svc, err := a.publishingService(c.Settings)
	if err != nil {
		return err
	}
	reports, err := c.fetchReports(ctx, svc)
	if err != nil {
		return err
	}
	if c.JSON {
		return a.printJSON(map[string][]pubsvc.InstanceReport{"instances": reports})
	}
	return printReports(a, reports)
}

func (c *statusCommand) fetchReports(ctx context.Context, svc *pubsvc.Service) ([]pubsvc.InstanceReport, error) {
	if len(c.Admin) == 0 {
		return svc.QueryAll(ctx)
	}
	instances := make([]roster.Instance, len(c.Admin))
	for i, addr := range c.Admin {
		instances[i] = roster.Instance{Name: addr.String(), Peer: addr}
	}
	return svc.Query(ctx, instances), nil
}

func printReports(a *App, reports []pubsvc.InstanceReport) error {
	w := tabwriter.NewWriter(a.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDC\tCONFIG\tCONTROL\tLANES\tQUARANTINE\tSTATE")
	for _, r := range reports {
		s := r.Status
		if s == nil {
			fmt.Fprintf(w, "%s\t%s\t-\t-\t-\t-\tno answer: %s\n", r.Instance, r.DC, r.Error)
			continue
		}
		control := "-"
		if s.IsController {
			control = fmt.Sprintf("%d/%d", s.Term, s.Epoch)
		}
		state := "ready"
		switch {
		case s.Leaving || r.Leaving:
			state = "leaving"
		case !s.Ready:
			state = "starting"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%d\t%s\n", s.Instance, s.DC, s.ConfigVersion, control, len(s.Lanes), s.QuarantinedCount, state)
	}
	return w.Flush()
}
