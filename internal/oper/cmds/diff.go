package cmds

import (
	"context"
	"fmt"

	"github.com/bramleycove/bramleycove/internal/oper/pubsvc"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
)

type diffCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings that name the log."`
	tableFiles
	From uint64 `arg:"" optional:"" help:"Older version; by default the one in force."`
	To   uint64 `arg:"" optional:"" help:"Newer version, if no files are given; by default the one in force."`
	JSON bool   `name:"json" help:"Write JSON."`
}

// diffResult is the JSON output of diff.
type diffResult struct {
	From    uint64             `json:"from"`
	To      uint64             `json:"to"` // 0 for files
	Changes []pubsvc.Change    `json:"changes"`
	Moves   []pubsvc.PoolMoves `json:"moves"`
}

// Run prints the changes and the resulting slot moves.
func (c *diffCommand) Run(ctx context.Context, a *App) error {
	if c.Routes == "" && c.From == 0 {
		return &usageError{"nothing to compare with: give --routes and --pools, or a version"}
	}
	if c.Routes != "" && c.To != 0 {
		return &usageError{"the newer tables are given both as files and as a version"}
	}
	svc, err := a.publishingService(c.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	older, err := svc.PublicationAt(ctx, c.From)
	if err != nil {
		return err
	}
	out := diffResult{From: older.Version, Changes: []pubsvc.Change{}, Moves: []pubsvc.PoolMoves{}}
	newTables, err := c.newerTables(ctx, svc, &out)
	if err != nil {
		return err
	}
	oldTables, _ := tables.Parse(older.Routes, older.Pools)
	out.Changes = append(out.Changes, pubsvc.Diff(oldTables, newTables)...)
	if placement, err := svc.CurrentPlacement(ctx); err != nil {
		fmt.Fprintln(a.Stderr, "bramleycove: cannot determine which slots move:", err)
	} else {
		out.Moves = append(out.Moves, pubsvc.EstimateMoves(newTables, placement)...)
	}
	if c.JSON {
		return a.printJSON(out)
	}
	return c.print(a, &out)
}

// newerTables reads the newer tables from the files or from the log. It sets out.To for the log.
func (c *diffCommand) newerTables(ctx context.Context, svc *pubsvc.Service, out *diffResult) (*tables.Tables, error) {
	var routes, pools []byte
	var err error
	if c.Routes != "" {
		routes, pools, err = c.read()
	} else {
		publication, versionErr := svc.PublicationAt(ctx, c.To)
		routes, pools, err, out.To = publication.Routes, publication.Pools, versionErr, publication.Version
	}
	if err != nil {
		return nil, err
	}
	parsed, faults := tables.Parse(routes, pools)
	if parsed == nil {
		pubsvc.SetFileNames(faults, c.pathsByTable())
		return nil, &pubsvc.FaultsError{Faults: faults}
	}
	return parsed, nil
}

func (c *diffCommand) print(a *App, out *diffResult) error {
	if len(out.Changes) == 0 {
		fmt.Fprintln(a.Stdout, "the tables do not differ")
	}
	for _, change := range out.Changes {
		fmt.Fprintln(a.Stdout, change)
	}
	for _, m := range out.Moves {
		fmt.Fprintln(a.Stdout, m)
	}
	return nil
}
