package cmds

import "context"

type serveCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings of the instance."`
}

// Run runs the instance until ctx ends.
func (c *serveCommand) Run(ctx context.Context, a *App) error {
	cfg, err := a.loadSettings(c.Settings)
	if err != nil {
		return err
	}
	return a.Serve(ctx, cfg)
}
