// Package cmds is the command line of standin.
package cmds

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/bramleycove/bramleycove/internal/stand/faults"
	"github.com/bramleycove/bramleycove/internal/stand/listsv"
	"github.com/bramleycove/bramleycove/internal/stand/load"
	"github.com/bramleycove/bramleycove/internal/stand/logsrv"
)

type commands struct {
	Log    logCmd    `cmd:"" help:"Run a log service."`
	List   listCmd   `cmd:"" help:"Run a list of instances and servers."`
	Server serverCmd `cmd:"" help:"Run a backend server."`
	Demo   demoCmd   `cmd:"" help:"Run a small system and show the loss of a server."`
	Load   loadCmd   `cmd:"" help:"Play callers."`
}

// listen is the pair of addresses that each stand-in has.
type listen struct {
	Address netip.AddrPort `default:"127.0.0.1:0" help:"Address of the service. Port 0 lets the kernel choose."`
	Control netip.AddrPort `default:"127.0.0.1:0" help:"Address of the control interface for tests."`
}

// output is where a stand-in reports that it is ready.
type output struct{ io.Writer }

func (o output) ready(n *faults.StandIn) {
	_, _ = fmt.Fprintf(o, "event=listening address=%s control=%s\n", n.Address(), n.ControlAddress())
}

type logCmd struct {
	listen
	Rate  float64       `default:"300" help:"Appends per second over all streams."`
	Queue time.Duration `default:"1s" help:"Longest wait of an append above the rate. Beyond it is answered 429."`
	Keep  int           `help:"Records retained of a stream. 0 means all."`
	Age   time.Duration `help:"Longest age of a retained record. 0 means any."`
}

// Run serves until the process is told to end.
func (c *logCmd) Run(ctx context.Context, out output) error {
	s := logsrv.New(logsrv.Settings{Rate: c.Rate, Queue: c.Queue, Keep: c.Keep, Age: c.Age})
	if err := s.Listen(c.Address, c.Control, nil); err != nil {
		return err
	}
	defer s.Close()
	out.ready(s.StandIn)
	<-ctx.Done()
	return nil
}

type listCmd struct {
	listen
	Lag time.Duration `help:"Time until a change shows in answers."`
}

// Run serves until the process is told to end.
func (c *listCmd) Run(ctx context.Context, out output) error {
	s := listsv.New(c.Lag)
	if err := s.Listen(c.Address, c.Control, nil); err != nil {
		return err
	}
	defer s.Close()
	out.ready(s.StandIn)
	<-ctx.Done()
	return nil
}

type loadCmd struct{ load.Settings }

// Run plays the callers and writes the result.
func (c *loadCmd) Run(ctx context.Context, out output) error { return c.Settings.Run(ctx, out) }

// Main runs the command line and returns the exit code: 0 after a regular end, 1 after a failure, 2 when the command
// line is wrong.
func Main(args []string, stdout, stderr io.Writer) int {
	var cli commands
	parser := kong.Must(&cli, kong.Name("standin"), kong.Description("Plays the platform in tests."),
		kong.Writers(stdout, stderr))
	kctx, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "standin:", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	kctx.BindTo(ctx, (*context.Context)(nil))
	kctx.Bind(output{stdout})
	if err := kctx.Run(); err != nil {
		_, _ = fmt.Fprintln(stderr, "standin:", err)
		return 1
	}
	return 0
}
