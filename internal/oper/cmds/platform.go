package cmds

import "context"

type platformCommand struct{}

// Run runs the instance until ctx ends.
func (*platformCommand) Run(ctx context.Context, a *App) error { return a.ServeOnPlatform(ctx) }
