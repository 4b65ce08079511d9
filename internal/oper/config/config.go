// Package config reads the settings of one instance.
package config

import (
	"net/netip"
	"os"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
)

// Config is the settings of one instance. It is never changed after Load.
type Config struct {
	Instance string // name, unique in the list; the incarnation is added at the start
	DC       string
	Region   string

	CallerAddr     netip.AddrPort // where callers are served; port 0 lets the kernel choose
	PeerAddr       netip.AddrPort // where other instances are served
	AdminAddr      netip.AddrPort // where operators are served
	AdvertisedAddr netip.AddrPort // where other instances reach Peer; zero if that is Peer itself
	LogAddr        netip.AddrPort // log service
	ListAddr       netip.AddrPort // instance list
	Seeds          []netip.AddrPort
	// Proxies maps addresses of the list and the pool table to those that this instance has to dial instead.
	Proxies map[netip.AddrPort]netip.AddrPort

	Linger          time.Duration // how long a stopping instance keeps accepting
	AppendsPerSec   int           // appends a second that all instances together may make to the ledger
	LinkBytesPerSec int           // bytes a second of requests and answers that all instances of the region together may exchange with others
	DebugSubsystems []string      // subsystems that log at debug level
	Limits          Limits
}

// Limits protects an instance from its callers.
type Limits struct {
	MaxHeader      int // bytes
	MaxBody        int // bytes
	MaxConnections int
	IdleTimeout    time.Duration // of a connection between requests
	ReadTimeout    time.Duration // to receive a whole request
}

// Subsystems are the names that debug accepts.
var Subsystems = []string{"place", "peer", "flow", "edge", "plat", "oper"}

// Load reads and checks the settings file at path. The result is nil unless all faults are warnings. An unreadable
// file is one fault without a line.
func Load(path string) (*Config, []jsonc.Fault) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, []jsonc.Fault{{File: path, Message: err.Error()}}
	}
	return Parse(path, data)
}

// Parse reads and checks settings; file names them in faults.
func Parse(file string, data []byte) (*Config, []jsonc.Fault) {
	doc, root := jsonc.Parse(file, data)
	cfg := readConfig(root)
	faults := doc.Faults()
	if jsonc.HasErrors(faults) {
		return nil, faults
	}
	return cfg, faults
}
