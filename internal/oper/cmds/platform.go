package cmds

import "context"

type platformCommand struct{}

// Run runs the instance.
func (*platformCommand) Run(ctx context.Context, a *App) error { return a.ServeOnPlatform(ctx) }
