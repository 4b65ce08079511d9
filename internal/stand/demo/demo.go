// Package demo runs a small system on loopback and shows what callers get before, during and after the loss of a
// backend server.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/stand/proc"
)

// Run starts the system, shows it at work and stops it. All ports are chosen by the kernel, and nothing is left behind.
// The end of ctx ends the demo early.
func Run(ctx context.Context, out io.Writer, daemon, standin string) (err error) {
	dir, err := os.MkdirTemp("", "bramleycove-demo-")
	if err != nil {
		return err
	}
	s := &system{daemon: daemon, standin: standin, dir: dir, procs: map[string]*proc.Process{}}
	d := &show{system: s, ctx: ctx, out: out, start: time.Now()}
	defer func() {
		d.say("\nStopping: SIGTERM to the instances, which finish their requests and exit.")
		if e := s.stop(); e != nil {
			err = errors.Join(err, e)
			return
		}
		d.say("All processes have ended; %s is removed. %.1f s in all.", dir, time.Since(d.start).Seconds())
	}()
	for _, step := range []func() error{s.platform, d.fleet, d.publish, d.ranks, d.twice, d.lookups, d.loss} {
		if err := errors.Join(ctx.Err(), step()); err != nil {
			return err
		}
	}
	return nil
}

// show is the demo on a running system.
type show struct {
	*system
	ctx    context.Context
	out    io.Writer
	start  time.Time
	owners map[string]answer // last answer by key
}

func (d *show) say(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format+"\n", args...) }

func (d *show) fleet() error {
	if err := d.system.fleet(); err != nil {
		return err
	}
	d.say("Started on loopback: log service, instance list, %d backend servers, %d instances in 2 data centres.", len(servers), len(instances))
	for _, p := range append(instances[:len(instances):len(instances)], servers...) {
		if p.pool == "" {
			d.say("  %-3s %-10s entry instance, callers at %s", p.name, p.dc, d.address(p.name, "caller"))
		} else {
			d.say("  %-3s %-10s backend server of pool %s", p.name, p.dc, p.pool)
		}
	}
	return nil
}

func (d *show) publish() error {
	if err := d.system.publish(); err != nil {
		return err
	}
	d.say("\nPublished the route table and the pool table; waiting until every key has an owner.")
	return d.await("every key is served", func() bool {
		for k := range probes {
			if a := d.call(instances[k%len(instances)].name, lookup(fmt.Sprint("probe", k))); a.status != fasthttp.StatusOK {
				return false
			}
		}
		return true
	})
}

// probes is enough keys for each server of the pool to be met.
const probes = 64

func (d *show) await(what string, done func() bool) error {
	for end := time.Now().Add(patience); !done(); time.Sleep(poll) {
		if err := d.ctx.Err(); err != nil {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", patience, what)
		}
	}
	return nil
}

// ranks sends a request of each rank through each instance.
func (d *show) ranks() error {
	d.say("\nRequests of all three ranks through every instance:")
	d.head()
	for _, p := range instances {
		d.row(d.call(p.name, lookup("net-12")))
		d.row(d.call(p.name, order("order-of-"+p.name)))
		d.row(d.call(p.name, request{rank: "bulk", method: "POST", path: "/notes", body: "note by " + p.name}))
	}
	return nil
}

// twice sends an order again through another instance.
func (d *show) twice() error {
	d.say("\nThe caller of i1 sends its order again, now through i3. The order runs once; it gets the first answer:")
	d.head()
	a := d.call("i3", order("order-of-i1"))
	d.row(a)
	if a.status != fasthttp.StatusOK {
		return fmt.Errorf("the resend was answered %d", a.status)
	}
	return nil
}

const keys = 12

func (d *show) lookups() error {
	d.owners = map[string]answer{}
	d.say("\nWhere %d keys are:", keys)
	d.head()
	for k := range keys {
		key := fmt.Sprint("net-", k)
		a := d.call(instances[k%len(instances)].name, lookup(key))
		d.row(a)
		if a.server == "" {
			return fmt.Errorf("no answer for %s: %s", key, a.verdict)
		}
		d.owners[key] = a
	}
	return nil
}

// loss kills the owner of the first key and shows what callers of its keys get until all are served again.
func (d *show) loss() error {
	victim := d.owners["net-0"].server
	d.kill(victim)
	at := time.Now()
	d.say("\nKilled %s (SIGKILL). Callers of all keys send once every 100 ms; changes only:", victim)
	d.head()
	after := make([]answer, keys)
	var tasks conc.WaitGroup
	changes := make(chan answer)
	for k := range keys {
		tasks.Go(func() { after[k] = d.follow(k, at, changes) })
	}
	var over conc.WaitGroup
	over.Go(func() {
		tasks.Wait()
		close(changes)
	})
	for a := range changes {
		d.row(a)
	}
	over.Wait()
	return d.summary(victim, after)
}

// follow looks a key up until another server than before answers, or for a while if the key stays where it is.
func (d *show) follow(k int, at time.Time, changes chan<- answer) answer {
	key := fmt.Sprint("net-", k)
	last := d.owners[key]
	for n := 0; ; n++ {
		a := d.call(instances[(k+n)%len(instances)].name, lookup(key))
		a.at = time.Since(at)
		if a.server != last.server || a.verdict != last.verdict {
			changes <- a
		}
		last = a
		moved := a.server != "" && a.server != d.owners[key].server
		if moved || a.at > watch || d.ctx.Err() != nil {
			return a
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// watch is how long keys are followed. It is longer than the target for a key to be served again, 5 s.
const watch = 8 * time.Second

func (d *show) summary(victim string, after []answer) error {
	d.say("\nWhere each key went:")
	for k, a := range after {
		key := fmt.Sprint("net-", k)
		before := d.owners[key].server
		switch {
		case before != victim && a.server == before:
			d.say("  %-7s stayed on %s", key, before)
		case before != victim && a.server != "":
			d.say("  %-7s %s -> %s, balancing %.1f s after the loss", key, before, a.server, a.at.Seconds())
		case a.server != "" && a.server != victim:
			d.say("  %-7s %s -> %s, served again %.1f s after the loss", key, before, a.server, a.at.Seconds())
		default:
			return fmt.Errorf("%s is not served %v after the loss of %s", key, watch, victim)
		}
	}
	return nil
}
