package cmds

import "context"

type platformCommand struct{}

// Run runs an instance on the users' platform until ctx ends.
func (*platformCommand) Run(ctx context.Context, a *App) error { return a.ServeOnPlatform(ctx) }
