package cmds

import (
	"context"
	"os"

	"github.com/bramleycove/bramleycove/internal/stand/demo"
)

type demoCmd struct {
	Daemon string `required:"" type:"path" help:"Path of the program bramleycove."`
}

// Run shows the demo.
func (c *demoCmd) Run(ctx context.Context, out output) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return demo.Run(ctx, out.Writer, c.Daemon, self)
}
