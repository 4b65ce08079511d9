package cmds

import (
	"fmt"
	"os"
	"slices"

	"github.com/bramleycove/bramleycove/internal/oper/config"
	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
	"github.com/bramleycove/bramleycove/internal/oper/pubsvc"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
)

// tableFiles holds the paths of the two table files.
type tableFiles struct {
	Routes string `and:"tables" placeholder:"FILE" help:"Route table."`
	Pools  string `and:"tables" placeholder:"FILE" help:"Pool table."`
}

// read returns the contents of both files. Unreadable files are faults.
func (f *tableFiles) read() (routes, pools []byte, err error) {
	var faults []jsonc.Fault
	readFile := func(path string) []byte {
		data, err := os.ReadFile(path)
		if err != nil {
			faults = append(faults, jsonc.Fault{File: path, Message: err.Error()})
		}
		return data
	}
	routes, pools = readFile(f.Routes), readFile(f.Pools)
	if len(faults) > 0 {
		return nil, nil, &pubsvc.FaultsError{Faults: faults}
	}
	return routes, pools, nil
}

// pathsByTable maps the standard file name of each table to the path given.
func (f *tableFiles) pathsByTable() map[string]string {
	return map[string]string{tables.RoutesFile: f.Routes, tables.PoolsFile: f.Pools}
}

type checkCommand struct {
	tableFiles
	Settings []string `placeholder:"FILE" help:"Settings of an instance; may be repeated."`
	JSON     bool     `name:"json" help:"Write JSON."`
}

// Run prints every fault of the given files.
func (c *checkCommand) Run(a *App) error {
	if c.Routes == "" && len(c.Settings) == 0 {
		return &usageError{"nothing to check: give --routes and --pools, or --settings"}
	}
	var faults []jsonc.Fault
	var parsed *tables.Tables
	if c.Routes != "" {
		routes, pools, err := c.read()
		if err != nil {
			return err
		}
		parsed, faults = tables.Parse(routes, pools)
		pubsvc.SetFileNames(faults, c.pathsByTable())
	}
	for _, path := range c.Settings {
		cfg, loadFaults := config.Load(path)
		faults = append(faults, loadFaults...)
		if cfg != nil && parsed != nil && !hasDC(parsed, cfg) {
			faults = append(faults, jsonc.Fault{
				File: path, Message: fmt.Sprintf("region %q with data centre %q is not in the pool table", cfg.Region, cfg.DC),
			})
		}
	}
	if c.JSON {
		if err := a.printJSON(map[string][]jsonc.Fault{"faults": slices.Concat([]jsonc.Fault{}, faults)}); err != nil {
			return err
		}
	}
	if jsonc.HasErrors(faults) {
		return &pubsvc.FaultsError{Faults: faults}
	}
	a.printFaults(faults)
	return nil
}

// hasDC reports whether the pool table lists the instance's data centre in its region.
func hasDC(t *tables.Tables, cfg *config.Config) bool {
	return slices.ContainsFunc(t.Regions, func(r tables.Region) bool {
		return r.Name == cfg.Region && slices.Contains(r.DCs, cfg.DC)
	})
}
