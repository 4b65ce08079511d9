package system_test

import (
	"errors"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/stand/bkend"
	"github.com/bramleycove/bramleycove/internal/stand/gate"
	"github.com/bramleycove/bramleycove/internal/stand/logsrv"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
	"github.com/bramleycove/bramleycove/internal/stand/system"
	"github.com/valyala/fasthttp"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

func plan() system.Plan {
	return system.Plan{
		Regions:   []system.Region{{Name: "dk-east", DCs: []string{"dk-east-1"}}},
		Instances: []system.Instance{{Name: "i1", DC: "dk-east-1", Region: "dk-east"}},
		Pools:     []system.Pool{{Name: "stock", Keyed: true, Slots: 16}, {Name: "cut"}},
		Servers: []system.Server{
			{Name: "s1", Pool: "stock", DC: "dk-east-1", Checks: true},
			{Name: "c1", Pool: "cut", DC: "dk-east-1", Args: []string{"--grace", "10ms", "--linger", "10ms"}},
		},
	}
}

func get(r *system.System, server string, timeout time.Duration) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + r.SharedProxy(server).Address().String() + "/x")
	req.SetConnectionClose()
	return fasthttp.DoTimeout(req, resp, timeout)
}

// Guards against a platform that instances cannot reach through their proxies, and controls that do nothing.
func TestProxiesAndCommands(t *testing.T) {
	r := system.New(t, plan())
	list, err := roster.New(r.PairProxy("i1", system.ListProcess).Address()).Fetch(t.Context())
	if err != nil || len(list.Servers) != 2 || list.Servers[1].Address != r.SharedProxy("s1").Address() {
		t.Fatalf("%+v, %v", list, err)
	}
	log := logsvc.New(r.PairProxy("i1", system.LogProcess).Address())
	if n, err := log.Append(t.Context(), "config", nil); n != 1 || err != nil {
		t.Fatalf("offset %d, %v", n, err)
	}
	r.CommandLog(logsrv.Command{Order: gate.Order{Mode: gate.Down}})
	if _, err := log.Append(t.Context(), "config", nil); err == nil {
		t.Error("appended while down")
	}
	r.CommandLog(logsrv.Command{Order: gate.Order{Mode: gate.Up}})
	r.PairProxy("i1", system.LogProcess).Cut()
	if n, err := logsvc.New(r.PairProxy("operator", system.LogProcess).Address()).Append(t.Context(), "config", nil); n != 2 || err != nil {
		t.Errorf("another link was cut too: %d, %v", n, err)
	}
	if pools := r.PoolTable("sc-1"); !strings.Contains(pools, r.SharedProxy("c1").Address().String()) || !strings.Contains(pools, `"sc-1"`) {
		t.Error(pools)
	}
}

// Guards against frozen, killed and stopped processes that differ from what a test of failures relies on.
func TestProcesses(t *testing.T) {
	r := system.New(t, plan())
	if err := get(r, "c1", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	r.Freeze("c1")
	if err := get(r, "c1", 100*time.Millisecond); !errors.Is(err, fasthttp.ErrTimeout) {
		t.Errorf("frozen: %v", err)
	}
	r.Thaw("c1")
	r.Await("both requests committed", 5*time.Second, func() bool { return r.ServerStatus("c1").Committed == 2 })
	r.Kill("c1")
	if _, err := net.Dial("tcp", r.SharedProxy("c1").Address().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("killed: %v", err)
	}
	before := r.SharedProxy("c1").Address()
	r.Start("c1")
	if err := get(r, "c1", 5*time.Second); err != nil || r.SharedProxy("c1").Address() != before {
		t.Errorf("restarted: %v", err)
	}
	r.CommandServer("c1", bkend.Command{Drain: true})
	if code := r.Stop("c1", 5*time.Second); code != 0 || r.Running("c1") {
		t.Errorf("stopped: exit code %d", code)
	}
	if c := r.Judge(); c.Committed != 3 {
		t.Errorf("%+v", c)
	}
}

// Guards against a test that goes on, or hangs, when an instance does not start.
func TestStartFails(t *testing.T) {
	p := plan()
	p.Settings = map[string]any{"dc": 5}
	err := system.New(t, p).TryStart("i1")
	if err == nil || !strings.Contains(err.Error(), "i1 ended before it listened") {
		t.Errorf("error %v", err)
	}
}
