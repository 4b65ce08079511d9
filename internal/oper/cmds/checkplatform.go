package cmds

import (
	"fmt"
	"os"
	"strings"

	"github.com/bramleycove/bramleycove/internal/oper/audit"
	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
	"github.com/bramleycove/bramleycove/internal/oper/pubsvc"
)

type checkPlatformCommand struct {
	File    string   `arg:"" placeholder:"FILE" help:"Configuration to check."`
	InForce string   `placeholder:"FILE" help:"Configuration in force."`
	Regions []string `placeholder:"NAME" help:"Known regions; without them regions are not checked."`
	Servers int      `placeholder:"N" help:"Number of servers that attempts may be sent to."`
	Memory  int64    `placeholder:"MB" help:"Memory of an instance."`
	JSON    bool     `name:"json" help:"Write JSON."`
}

// maxMemoryMB keeps the number of bytes within 64 bits.
const maxMemoryMB = 1 << 40

// Run prints the findings about the configuration and its differences from the one in force.
func (c *checkPlatformCommand) Run(a *App) error {
	if c.Servers < 0 || c.Memory < 0 || c.Memory > maxMemoryMB {
		return &usageError{"--servers and --memory must not be negative, and --memory must be at most 2^40"}
	}
	document, err := os.ReadFile(c.File)
	if err != nil {
		return &inputError{err}
	}
	var inForce []byte
	if c.InForce != "" {
		if inForce, err = os.ReadFile(c.InForce); err != nil {
			return &inputError{err}
		}
	}
	report, err := a.CheckPlatform(document, inForce, audit.Options{Regions: c.Regions, Servers: c.Servers, Memory: c.Memory << 20})
	if err != nil {
		return &inputError{fmt.Errorf("%s: %w", c.InForce, err)}
	}
	faults := make([]jsonc.Fault, len(report.Findings))
	for i, f := range report.Findings {
		faults[i] = jsonc.Fault{File: c.File, Line: f.Line, Column: f.Column, Warning: f.Warning, Message: describe(f)}
	}
	if c.JSON {
		if err := a.printJSON(report); err != nil {
			return err
		}
	} else {
		for _, change := range report.Changes {
			fmt.Fprintln(a.Stdout, change)
		}
	}
	if report.HasErrors() {
		return &pubsvc.FaultsError{Faults: faults}
	}
	a.printFaults(faults)
	return nil
}

// describe returns the finding as "kind name: field: message", without what is empty.
func describe(f audit.Finding) string {
	parts := []string{strings.TrimSpace(f.Kind + " " + f.Name), f.Field, f.Message}
	for parts[0] == "" {
		parts = parts[1:]
	}
	if len(parts) == 3 && f.Field == "" {
		return parts[0] + ": " + f.Message
	}
	return strings.Join(parts, ": ")
}
