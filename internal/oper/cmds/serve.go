package cmds

import "context"

type serve struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings of the instance."`
}

// Run runs the instance.
func (c *serve) Run(ctx context.Context, a *App) error {
	cfg, err := a.settings(c.Settings)
	if err != nil {
		return err
	}
	return a.Serve(ctx, cfg)
}
