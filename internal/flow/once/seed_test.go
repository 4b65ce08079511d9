package once_test

import (
	"os"
	"slices"
)

// init sets a fixed seed so that failures are reproducible. A seed given on the command line takes precedence.
func init() { os.Args = slices.Insert(os.Args, 1, "-rapid.seed=1") }
