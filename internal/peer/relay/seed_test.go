package relay_test

import (
	"os"
	"slices"
)

// A fixed seed makes failures reproducible. A seed on the command line takes precedence.
func init() { os.Args = slices.Insert(os.Args, 1, "-rapid.seed=1") }
