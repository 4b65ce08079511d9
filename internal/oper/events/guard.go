package events

import (
	"os"

	"github.com/sourcegraph/conc/panics"
)

// panicExitCode is the exit code after a panic, the one that the Go runtime uses.
const panicExitCode = 2

// Guard runs part and ends the process if it panics. The part would be missing otherwise while the rest goes on, since
// conc keeps panics until its goroutines are waited for: a leader that answers but grants nothing keeps others from taking
// its place.
func (l *Logger) Guard(run func()) {
	var caught panics.Catcher
	caught.Try(run)
	if r := caught.Recovered(); r != nil {
		l.Error("panic", "error", r.AsError())
		// A log that is written in the background may not get this far.
		_, _ = os.Stderr.WriteString(r.String() + "\n")
		os.Exit(panicExitCode)
	}
}
