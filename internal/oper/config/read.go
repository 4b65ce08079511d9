package config

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

var settingNames = []string{
	"instance", "dc", "region", "caller", "peer", "admin", "advertise", "log", "list", "seeds",
	"linger", "budget", "link", "debug", "limits", "proxies",
}

const (
	maxLinger = 10 * time.Minute
	// maxAppendsPerSec is far above the several hundred appends a second that the log service sustains.
	maxAppendsPerSec   = 10_000
	minLinkBytesPerSec = 10_000
	maxConnections     = 1 << 20
	maxSize            = 1 << 30
	maxTimeout         = time.Hour
)

func defaultConfig() *Config {
	return &Config{
		Linger:        2 * time.Second,
		AppendsPerSec: 200,
		// Two thirds of 30 Mbit/s; the rest is for control traffic and other users.
		LinkBytesPerSec: 2_500_000,
		Limits:          Limits{MaxHeader: 8 << 10, MaxBody: 1 << 20, MaxConnections: 1000, IdleTimeout: time.Minute, ReadTimeout: 5 * time.Second},
	}
}

func readConfig(root jsonc.Node) *Config {
	o := root.Object(settingNames...)
	cfg := defaultConfig()
	cfg.Instance, cfg.DC, cfg.Region = o.Required("instance").Name(), o.Required("dc").Name(), o.Required("region").Name()
	cfg.CallerAddr, cfg.PeerAddr, cfg.AdminAddr = o.Required("caller").Address(), o.Required("peer").Address(), o.Required("admin").Address()
	cfg.LogAddr, cfg.ListAddr = readDialAddress(o.Required("log")), readDialAddress(o.Required("list"))
	readPeers(o, cfg)
	checkListenersDiffer(o, cfg)
	if o.Has("linger") {
		cfg.Linger = o.Get("linger").Duration(maxLinger)
	}
	if o.Has("budget") {
		cfg.AppendsPerSec = o.Get("budget").Int(1, maxAppendsPerSec)
	}
	if o.Has("link") {
		cfg.LinkBytesPerSec = o.Get("link").Int(minLinkBytesPerSec, maxSize)
	}
	readDebug(o.Get("debug"), cfg)
	if o.Has("limits") {
		readLimits(o.Get("limits"), &cfg.Limits)
	}
	cfg.Limits.setMemory()
	return cfg
}

// readDialAddress reads an address to connect to.
func readDialAddress(n jsonc.Node) netip.AddrPort {
	a := n.Address()
	if a.IsValid() && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		n.AddFault("%s cannot be connected to", a)
	}
	return a
}

func readPeers(o jsonc.Object, cfg *Config) {
	if o.Has("advertise") {
		cfg.AdvertisedAddr = readDialAddress(o.Get("advertise"))
	} else if cfg.PeerAddr.IsValid() && cfg.PeerAddr.Addr().IsUnspecified() {
		o.Get("peer").AddFault("%s listens on all addresses, so advertise must name the one that other instances use", cfg.PeerAddr)
	}
	if o.Has("proxies") {
		cfg.Proxies = make(map[netip.AddrPort]netip.AddrPort)
		for _, e := range o.Get("proxies").Entries() {
			cfg.Proxies[e.Name.Address()] = readDialAddress(e.Value)
		}
	}
	if !o.Has("seeds") {
		return
	}
	for _, n := range o.Get("seeds").Array() {
		if a := readDialAddress(n); a.IsValid() && !slices.Contains(cfg.Seeds, a) {
			cfg.Seeds = append(cfg.Seeds, a)
		}
	}
}

// checkListenersDiffer checks that no two listeners have the same address with a fixed port.
func checkListenersDiffer(o jsonc.Object, cfg *Config) {
	usedBy := map[netip.AddrPort]string{}
	for _, l := range []struct {
		name string
		at   netip.AddrPort
	}{{"caller", cfg.CallerAddr}, {"peer", cfg.PeerAddr}, {"admin", cfg.AdminAddr}} {
		if l.at.Port() == 0 {
			continue
		}
		if other := usedBy[l.at]; other != "" {
			o.Get(l.name).AddFault("%s is already the address of %s", l.at, other)
		}
		usedBy[l.at] = l.name
	}
}

func readDebug(n jsonc.Node, cfg *Config) {
	for _, e := range n.Array() {
		name := e.Text()
		if e.IsKind('"') && !slices.Contains(Subsystems, name) {
			e.AddFault("unknown subsystem %s%s", jsonc.Quote(name), jsonc.Hint(name, Subsystems))
		}
		cfg.DebugSubsystems = append(cfg.DebugSubsystems, name)
	}
}

func readLimits(n jsonc.Node, l *Limits) {
	o := n.Object("header", "body", "connections", "idle", "read", "memory")
	if o.Has("header") {
		l.MaxHeader = readSize(o.Get("header"))
	}
	if o.Has("body") {
		l.MaxBody = readSize(o.Get("body"))
	}
	if o.Has("connections") {
		l.MaxConnections = o.Get("connections").Int(1, maxConnections)
	}
	if o.Has("idle") {
		l.IdleTimeout = o.Get("idle").Duration(maxTimeout)
	}
	if o.Has("read") {
		l.ReadTimeout = o.Get("read").Duration(maxTimeout)
	}
	if o.Has("memory") {
		l.Memory = int64(readSize(o.Get("memory")))
		if l.Memory > 0 && intake.ForMemory(l.Memory) < int64(l.MaxBody) {
			o.Get("memory").AddFault("a body of %d bytes does not fit into three eighths of it", l.MaxBody)
		}
	}
}

// readSize reads a size in bytes, written as a number or as a string such as "8KiB".
func readSize(n jsonc.Node) int {
	if n.IsKind('0') {
		return n.Int(1, maxSize)
	}
	s := n.Text()
	if !n.IsKind('"') {
		return 0
	}
	for _, unit := range []struct {
		name  string
		bytes int
	}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}} {
		digits, ok := strings.CutSuffix(s, unit.name)
		if !ok {
			continue
		}
		if v, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 31); err == nil && v > 0 && int(v) <= maxSize/unit.bytes {
			return int(v) * unit.bytes
		}
		break
	}
	n.AddFault(`%s is not a size up to 1GiB; write it as "512B", "8KiB" or "1MiB"`, jsonc.Quote(s))
	return 0
}
