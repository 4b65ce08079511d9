package config_test

import (
	"strings"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/config"
)

const settings = `{
  "instance": "i1", "dc": "dk-east-1", "region": "dk-east", // place
  "caller": "127.0.0.1:8001", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0",
  "log": "127.0.0.1:9001", "list": "127.0.0.1:9002", "seeds": ["127.0.0.1:9003"],
  "linger": "3s", "debug": ["place"],
  "limits": {"header": "16KiB", "idle": "30s"},
}`

func TestParse(t *testing.T) {
	cfg, faults := config.Parse("s", []byte(settings))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if cfg.Linger != 3*time.Second || cfg.AppendsPerSec != 200 || cfg.Limits.MaxHeader != 16<<10 || cfg.Limits.MaxBody != 1<<20 || cfg.Limits.Memory != 256<<20 {
		t.Errorf("read as %+v", cfg)
	}
	if cfg.Seeds[0].Port() != 9003 || cfg.DebugSubsystems[0] != "place" || cfg.AdvertisedAddr.IsValid() || cfg.Limits.IdleTimeout != 30*time.Second {
		t.Errorf("read as %+v", cfg)
	}
}

// TestFaults checks that faulty settings are rejected before the daemon starts.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"linger"`, `"lingr"`, `s:5:3: unknown field "lingr"; did you mean "linger"?`},
		{`"place"]`, `"plce"]`, `s:5:29: unknown subsystem "plce"; did you mean "place"?`},
		{`"idle"`, `"idel"`, `s:6:33: unknown field "idel"; did you mean "idle"?`},
		{`16KiB`, `9GiB`, `s:6:24: "9GiB" is not a size up to 1GiB; write it as "512B", "8KiB" or "1MiB"`},
		{`"idle": "30s"`, `"memory": "2MiB"`, `s:6:43: a body of 1048576 bytes does not fit into three eighths of it`},
		{`"peer": "127.0.0.1:0"`, `"peer": "0.0.0.0:0"`, `s:3:39: 0.0.0.0:0 listens on all addresses, so advertise must name the one that other instances use`},
		{`"peer": "127.0.0.1:0"`, `"peer": "127.0.0.1:8001"`, `s:3:39: 127.0.0.1:8001 is already the address of caller`},
		{`"log": "127.0.0.1:9001", `, ``, `s:1:1: field "log" is missing`},
		{`"log": "127.0.0.1:9001"`, `"log": "127.0.0.1:0"`, `s:4:10: 127.0.0.1:0 cannot be connected to`},
	} {
		cfg, faults := config.Parse("s", []byte(strings.Replace(settings, c.old, c.new, 1)))
		if cfg != nil || len(faults) != 1 || faults[0].String() != c.want {
			t.Errorf("%s for %s: got %v, want %s", c.new, c.old, faults, c.want)
		}
	}
	if cfg, faults := config.Load("absent.jsonc"); cfg != nil || len(faults) != 1 {
		t.Errorf("loading an absent file gave %v", faults)
	}
}
