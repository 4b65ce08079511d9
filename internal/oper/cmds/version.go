package cmds

import (
	"fmt"
	"runtime"
)

type versionCommand struct {
	JSON bool `name:"json" help:"Write JSON."`
}

// Run prints the program and Go versions.
func (c *versionCommand) Run(a *App) error {
	if c.JSON {
		return a.printJSON(map[string]string{"version": a.Version, "go": runtime.Version()})
	}
	_, err := fmt.Fprintf(a.Stdout, "bramleycove %s (%s)\n", a.Version, runtime.Version())
	return err
}
