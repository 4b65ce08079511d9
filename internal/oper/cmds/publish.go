package cmds

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
	"github.com/bramleycove/bramleycove/internal/oper/pubsvc"
)

// logTimeout bounds the time that publish and diff spend on the log.
const logTimeout = 10 * time.Second

type publishCommand struct {
	Settings string        `required:"" placeholder:"FILE" help:"Settings that name the log and the list."`
	Routes   string        `required:"" placeholder:"FILE" help:"Route table."`
	Pools    string        `required:"" placeholder:"FILE" help:"Pool table."`
	Base     *uint64       `placeholder:"N" help:"Version that the tables were built on; by default the one in force now."`
	Wait     time.Duration `default:"10s" help:"How long to wait for all instances to confirm; 0 to not wait."`
	JSON     bool          `name:"json" help:"Write JSON."`
}

// publishResult is the JSON output of publish.
type publishResult struct {
	Outcome   string                  `json:"outcome"` // accepted, unchanged, lost, unconfirmed, faults or unreachable
	Version   uint64                  `json:"version"` // accepted, or in force if the outcome is lost
	Current   uint64                  `json:"current"` // version in force when publish read the log
	Confirmed int                     `json:"confirmed"`
	Behind    []pubsvc.InstanceReport `json:"behind,omitempty"`
	Faults    []jsonc.Fault           `json:"faults,omitempty"`
	Error     string                  `json:"error,omitempty"`
}

// Run publishes the tables and prints the outcome.
func (c *publishCommand) Run(ctx context.Context, a *App) error {
	var out publishResult
	err := c.publish(ctx, a, &out)
	if c.JSON {
		out.setError(err)
		if err := a.printJSON(out); err != nil {
			return err
		}
	}
	return err
}

func (c *publishCommand) publish(ctx context.Context, a *App, out *publishResult) error {
	f := tableFiles{Routes: c.Routes, Pools: c.Pools}
	routes, pools, err := f.read()
	if err != nil {
		return err
	}
	svc, err := a.publishingService(c.Settings)
	if err != nil {
		return err
	}
	req := pubsvc.PublishRequest{Routes: routes, Pools: pools}
	if c.Base != nil {
		req.BaseVersion, req.HasBase = *c.Base, true
	}
	logCtx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	accepted, err := svc.Publish(logCtx, req)
	if faults := new(pubsvc.FaultsError); errors.As(err, &faults) {
		pubsvc.SetFileNames(faults.Faults, f.pathsByTable())
	}
	if err != nil {
		return err
	}
	pubsvc.SetFileNames(accepted.Warnings, f.pathsByTable())
	a.printFaults(accepted.Warnings)
	out.Outcome, out.Version, out.Current, out.Faults = "accepted", accepted.Version, accepted.CurrentVersion, accepted.Warnings
	switch {
	case accepted.AlreadyInForce:
		out.Outcome = "unchanged"
		return c.printText(a, "the tables are in force already, as version %d", accepted.Version)
	case accepted.CurrentVersion > accepted.Version:
		return c.printText(a, "the tables were accepted as version %d before, and replaced; version %d is in force", accepted.Version, accepted.CurrentVersion)
	case c.Wait <= 0:
		return c.printText(a, "version %d is accepted", accepted.Version)
	}
	return c.awaitConfirmation(ctx, a, svc, out)
}

func (c *publishCommand) awaitConfirmation(ctx context.Context, a *App, svc *pubsvc.Service, out *publishResult) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	var err error
	out.Confirmed, out.Behind, err = svc.Confirm(ctx, out.Version)
	if err == nil && len(out.Behind) == 0 {
		return c.printText(a, "version %d is in force on all %d instances", out.Version, out.Confirmed)
	}
	unconfirmed := &unconfirmedError{version: out.Version, cause: err}
	for _, r := range out.Behind {
		unconfirmed.instances = append(unconfirmed.instances, fmt.Sprintf("%s (%s)", r.Instance, r.Peer))
	}
	return unconfirmed
}

func (c *publishCommand) printText(a *App, format string, args ...any) error {
	if c.JSON {
		return nil
	}
	_, err := fmt.Fprintf(a.Stdout, format+"\n", args...)
	return err
}

// setError sets the outcome from err unless it is nil.
func (p *publishResult) setError(err error) {
	if err == nil {
		return
	}
	p.Error = err.Error()
	faults, lost := new(pubsvc.FaultsError), new(pubsvc.ConflictError)
	switch {
	case errors.As(err, &lost):
		p.Outcome, p.Version, p.Current = "lost", lost.CurrentVersion, lost.CurrentVersion
	case errors.As(err, new(*unconfirmedError)):
		p.Outcome = "unconfirmed"
	case errors.As(err, new(*pubsvc.PlatformError)):
		p.Outcome = "unreachable"
	default:
		p.Outcome = "faults"
		if errors.As(err, &faults) {
			p.Faults = faults.Faults
		}
	}
}
