// Command stand2 runs the cases of a review: real daemons on loopback addresses, with stand-ins of the store, the backend servers and the
// clients.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// machines is the number of daemons, as at the smaller of the two first deployments.
const machines = 8

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(c *trial) (broken bool, err error){
	"odd-entry":    oddEntry,
	"short-fields": shortFields,
}

// trial is one run of a case.
type trial struct {
	*fleet
	trouble bool
	began   time.Time
	mu      sync.Mutex // guards record
	record  *bufio.Writer
}

// note writes a line to the record.
func (c *trial) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.record, "%8.3f "+format+"\n", append([]any{time.Since(c.began).Seconds()}, args...)...)
}

// noteRuns writes to the record what the servers ran.
func (c *trial) noteRuns() {
	c.journal.mu.Lock()
	defer c.journal.mu.Unlock()
	for _, r := range c.journal.runs {
		c.note("run of %s, key %d, began at %s on %s", r.request, r.key, c.at(r.at), r.server)
	}
}

// at returns a time as in the record.
func (c *trial) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(c.began).Seconds()) }

func main() { os.Exit(runCase()) }

// runCase runs the case named by the first argument, with the record in the folder named by the second.
func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c := &trial{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: bufio.NewWriter(file)}
	defer func() { _ = c.record.Flush() }()
	if c.fleet, err = newFleet(dir, machines); err == nil {
		defer c.stop()
		var broken bool
		if broken, err = cases[os.Args[1]](c); err == nil {
			c.note("broken: %v", broken)
			fmt.Println("broken:", broken)
			if broken {
				return exitBroken
			}
			return exitHeld
		}
	}
	c.note("could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitNotRun
}
