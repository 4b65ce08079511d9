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
	"github.com/bramleycove/bramleycove/internal/stand/faults"
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

func get(sys *system.System, server string, timeout time.Duration) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + sys.SharedProxy(server).Address().String() + "/x")
	req.SetConnectionClose()
	return fasthttp.DoTimeout(req, resp, timeout)
}

// Guards against platform services that are not reachable through the proxies, and commands without effect.
func TestProxiesAndCommands(t *testing.T) {
	sys := system.New(t, plan())
	list, err := roster.New(sys.PairProxy("i1", system.ListProcess).Address()).Fetch(t.Context())
	if err != nil || len(list.Servers) != 2 || list.Servers[1].Address != sys.SharedProxy("s1").Address() {
		t.Fatalf("list %+v, error %v", list, err)
	}
	log := logsvc.New(sys.PairProxy("i1", system.LogProcess).Address())
	if n, err := log.Append(t.Context(), "config", nil); n != 1 || err != nil {
		t.Fatalf("append returned offset %d, error %v, want offset 1", n, err)
	}
	sys.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: faults.Down}})
	if _, err := log.Append(t.Context(), "config", nil); err == nil {
		t.Error("append succeeded while the log service was down")
	}
	sys.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: faults.Up}})
	sys.PairProxy("i1", system.LogProcess).Cut()
	if n, err := logsvc.New(sys.PairProxy("operator", system.LogProcess).Address()).Append(t.Context(), "config", nil); n != 2 || err != nil {
		t.Errorf("append through an uncut proxy returned offset %d, error %v, want offset 2", n, err)
	}
	if pools := sys.PoolTable("sc-1"); !strings.Contains(pools, sys.SharedProxy("c1").Address().String()) || !strings.Contains(pools, `"sc-1"`) {
		t.Error(pools)
	}
}

// Guards against processes that do not react as expected to being frozen, killed or stopped.
func TestProcesses(t *testing.T) {
	sys := system.New(t, plan())
	if err := get(sys, "c1", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	sys.Freeze("c1")
	if err := get(sys, "c1", 100*time.Millisecond); !errors.Is(err, fasthttp.ErrTimeout) {
		t.Errorf("request to a frozen server: error %v, want a timeout", err)
	}
	sys.Thaw("c1")
	sys.Await("both requests committed", 5*time.Second, func() bool { return sys.ServerStatus("c1").Committed == 2 })
	sys.Kill("c1")
	if _, err := net.Dial("tcp", sys.SharedProxy("c1").Address().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connect to a killed server: error %v, want connection refused", err)
	}
	before := sys.SharedProxy("c1").Address()
	sys.Start("c1")
	if err := get(sys, "c1", 5*time.Second); err != nil || sys.SharedProxy("c1").Address() != before {
		t.Errorf("request to a restarted server: error %v, or its proxy has another address", err)
	}
	sys.CommandServer("c1", bkend.Command{Drain: true})
	if code := sys.Stop("c1", 5*time.Second); code != 0 || sys.Running("c1") {
		t.Errorf("stopped server: exit code %d, want 0, or it still runs", code)
	}
	if c := sys.Judge(); c.Committed != 3 {
		t.Errorf("counts %+v, want 3 committed", c)
	}
}

// Guards against tests that continue or hang when an instance fails to start.
func TestStartFails(t *testing.T) {
	p := plan()
	p.Settings = map[string]any{"dc": 5}
	err := system.New(t, p).TryStart("i1")
	if err == nil || !strings.Contains(err.Error(), "i1 ended before it listened") {
		t.Errorf("error %v, want that i1 ended before it listened", err)
	}
}
