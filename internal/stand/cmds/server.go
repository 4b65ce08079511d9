package cmds

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/stand/bkend"
	"github.com/bramleycove/bramleycove/internal/stand/listsv"
)

type serverCmd struct {
	listen
	Name        string         `required:"" help:"Name of the server, as in the pool table."`
	Pool        string         `help:"Pool that the server registers for."`
	List        netip.AddrPort `help:"Control address of the list to register with. None if left out."`
	Advertise   netip.AddrPort `help:"Address to register. The service address if left out."`
	Checks      bool           `help:"Accept grants, and check tokens if the pool is keyed."`
	Keyed       bool           `help:"Serve a keyed pool. Otherwise slots and tokens of requests are ignored."`
	Slots       int            `default:"3" help:"Requests that run at once."`
	Queue       int            `default:"3" help:"Requests that wait. More are shed."`
	Connections int            `default:"130" help:"Connection limit. 0 means none."`
	Connect     time.Duration  `default:"1ms" help:"Time that a new connection takes."`
	Probe       time.Duration  `default:"6ms" help:"Time that a health or load answer takes."`
	Service     time.Duration  `default:"5ms" help:"Mean service time."`
	Jitter      time.Duration  `default:"1ms" help:"Variation of the service time to both sides."`
	Seed        uint64         `default:"1" help:"Seed of the variation."`
	Cold        time.Duration  `help:"Length of the cold start."`
	Chill       float64        `default:"10" help:"Factor of the service time at the start."`
	Grace       time.Duration  `default:"2s" help:"Time from the start of draining until new work is refused."`
	Linger      time.Duration  `default:"1s" help:"Time that a drained server goes on refusing before it ends."`
	Size        int            `help:"Least length of an answer in bytes."`
	CrashBody   string         `help:"End the process at a request with this body."`
	CrashHeader string         `help:"End the process at a request with this header."`
	Journal     string         `type:"path" help:"File to journal to."`
}

func (c *serverCmd) settings() bkend.Settings {
	return bkend.Settings{
		Name: c.Name, ChecksTokens: c.Checks, Keyed: c.Keyed, Concurrency: c.Slots, MaxQueued: c.Queue, MaxConnections: c.Connections,
		ConnectDelay: c.Connect, ProbeDelay: c.Probe, ServiceTime: c.Service, Jitter: c.Jitter, Seed: c.Seed, WarmUp: c.Cold,
		ColdFactor: c.Chill, GracePeriod: c.Grace, MinAnswerSize: c.Size, CrashBody: c.CrashBody, CrashHeader: c.CrashHeader, JournalPath: c.Journal,
	}
}

// drainPoll is the interval at which a draining server looks whether it may end.
const drainPoll = 10 * time.Millisecond

// Run serves until the process is told to end, then drains.
func (c *serverCmd) Run(ctx context.Context, out output) error {
	s, err := bkend.New(c.settings())
	if err != nil {
		return err
	}
	if err := s.Start(c.Address, c.Control); err != nil {
		return err
	}
	defer s.Close()
	if err := c.register(s.Address()); err != nil {
		return err
	}
	out.ready(s.StandIn)
	<-ctx.Done()
	s.Drain(time.Now())
	for !s.Drained(time.Now()) {
		time.Sleep(drainPoll)
	}
	time.Sleep(c.Linger)
	return nil
}

// register enters the server in the list.
func (c *serverCmd) register(addr netip.AddrPort) error {
	if !c.List.IsValid() {
		return nil
	}
	if c.Advertise.IsValid() {
		addr = c.Advertise
	}
	body, err := json.Marshal(listsv.Command{Put: listsv.List{
		Servers: []listsv.Server{{Pool: c.Pool, Name: c.Name, Address: addr.String()}},
	}})
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.List.String() + "/control")
	req.SetBody(body)
	if err := fasthttp.Do(req, resp); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("list answered %d to the registration of %s", resp.StatusCode(), c.Name)
	}
	return nil
}
