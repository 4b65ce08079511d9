package events

import (
	"os"

	"github.com/sourcegraph/conc/panics"
)

// panicExitCode is the exit code that the Go runtime uses after a panic.
const panicExitCode = 2

// Guard calls run and ends the process if it panics. Otherwise the process would continue without this component, because
// conc holds back a panic until its goroutines are waited for: a leader that answers but grants nothing prevents others
// from replacing it.
func (l *Logger) Guard(run func()) {
	var caught panics.Catcher
	caught.Try(run)
	if r := caught.Recovered(); r != nil {
		l.Error("panic", "error", r.AsError())
		// A log that is written in the background may not be flushed before the exit.
		_, _ = os.Stderr.WriteString(r.String() + "\n")
		os.Exit(panicExitCode)
	}
}
