// Package config reads the settings of one instance.
package config

import (
	"net/netip"
	"os"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
)

// Config holds the settings of one instance. It is read-only after Load.
type Config struct {
	Instance string // unique in the instance list; each start adds an incarnation
	DC       string
	Region   string

	CallerAddr     netip.AddrPort // listener for callers; port 0 lets the kernel choose
	PeerAddr       netip.AddrPort // listener for other instances
	AdminAddr      netip.AddrPort // listener for operators
	AdvertisedAddr netip.AddrPort // where other instances reach the peer listener; zero means PeerAddr
	LogAddr        netip.AddrPort // log service
	ListAddr       netip.AddrPort // instance list
	Seeds          []netip.AddrPort
	// Proxies maps addresses in the instance list and the pools table to those that this instance must dial instead.
	Proxies map[netip.AddrPort]netip.AddrPort

	Linger          time.Duration // how long a stopping instance still accepts requests
	AppendsPerSec   int           // rate limit of appends to the ledger, for all instances together
	LinkBytesPerSec int           // rate limit of traffic with other regions, for all instances of the region together
	DebugSubsystems []string      // subsystems that log at debug level
	Limits          Limits
}

// Limits protects an instance from its callers.
type Limits struct {
	MaxHeader      int // bytes
	MaxBody        int // bytes
	MaxConnections int
	IdleTimeout    time.Duration // for a connection between requests
	ReadTimeout    time.Duration // for receiving a whole request
	Memory         int64         // bytes that the process should stay below
}

// setMemory sets Memory if it is not stated: at least 256 MiB, and enough for the longest body and for all connections.
func (l *Limits) setMemory() {
	const (
		minMemory = 256 << 20
		// A budget of three eighths of the memory holds one body, and half of it what idle connections take.
		bodies, connections, connBytes = 4, 6, 20 << 10
	)
	if l.Memory == 0 {
		l.Memory = max(minMemory, bodies*int64(l.MaxBody), connections*int64(l.MaxConnections)*int64(l.MaxHeader+connBytes))
	}
}

// Subsystems lists the names that the debug setting accepts.
var Subsystems = []string{"place", "peer", "flow", "edge", "plat", "oper"}

// Load reads and checks the settings file at path. The result is nil unless all faults are warnings. An unreadable
// file gives one fault without a line number.
func Load(path string) (*Config, []jsonc.Fault) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, []jsonc.Fault{{File: path, Message: err.Error()}}
	}
	return Parse(path, data)
}

// Parse reads and checks settings like Load; faults carry the name file.
func Parse(file string, data []byte) (*Config, []jsonc.Fault) {
	doc, root := jsonc.Parse(file, data)
	cfg := readConfig(root)
	faults := doc.Faults()
	if jsonc.HasErrors(faults) {
		return nil, faults
	}
	return cfg, faults
}
