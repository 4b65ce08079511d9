package tables

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
)

// minWitnesses is the smallest number of witnesses that keeps a majority after the loss of one.
const minWitnesses = 3

func (p *parser) readPools(root jsonc.Node) {
	o := root.Object("regions", "lost", "pools")
	regions := o.Required("regions")
	dcs := p.readRegions(regions)
	p.readLostDCs(o.Get("lost"))
	seen, usedAddresses := make(map[string]bool), make(map[netip.AddrPort]string)
	for _, n := range readBoundedArray(o.Required("pools"), "pools", maxPools) {
		p.readPool(n, seen, usedAddresses)
	}
	for _, dc := range dcs {
		p.warnFewWitnesses(dc)
	}
}

// readRegions returns the nodes that declare data centres.
func (p *parser) readRegions(list jsonc.Node) []jsonc.Node {
	var dcs []jsonc.Node
	seen := make(map[string]bool)
	for _, n := range list.Array() {
		o := n.Object("name", "dcs")
		r := Region{Name: readUniqueName(o.Required("name"), "region", seen)}
		nodes := o.Required("dcs").Array()
		if o.Get("dcs").IsKind('[') && len(nodes) == 0 {
			o.Get("dcs").AddFault("a region needs at least one data centre")
		}
		for _, dc := range nodes {
			if name := readUniqueName(dc, "data centre", p.regionDCs); name != "" {
				r.DCs, dcs = append(r.DCs, name), append(dcs, dc)
			}
		}
		p.Regions = append(p.Regions, r)
	}
	return dcs
}

func (p *parser) readLostDCs(list jsonc.Node) {
	seen := make(map[string]bool)
	for _, n := range list.Array() {
		if dc := readUniqueName(n, "lost data centre", seen); p.checkInRegion(n, dc) {
			p.Lost = append(p.Lost, dc)
		}
	}
}

// checkInRegion reports whether a region lists dc. An unlisted dc is a fault unless empty.
func (p *parser) checkInRegion(n jsonc.Node, dc string) bool {
	if dc == "" || p.regionDCs[dc] {
		return dc != ""
	}
	n.AddFault("data centre %q is in no region%s", dc, jsonc.Hint(dc, slices.Sorted(maps.Keys(p.regionDCs))))
	return false
}

// warnFewWitnesses warns of a data centre that needs its instances as witnesses to reach three.
func (p *parser) warnFewWitnesses(n jsonc.Node) {
	dc := n.Name()
	if !p.servedDCs[dc] || slices.Contains(p.Lost, dc) || p.checkingServers[dc] >= minWitnesses {
		return
	}
	n.AddWarning("data centre %q has %d token-checking servers; with its instances it needs %d witnesses to survive the loss of one",
		dc, p.checkingServers[dc], minWitnesses)
}

func (p *parser) readPool(n jsonc.Node, seen map[string]bool, usedAddresses map[netip.AddrPort]string) {
	o := n.Object("name", "keyed", "slots", "cutoff", "remote", "servers")
	if !o.Valid() {
		return
	}
	pool := Pool{Name: readUniqueName(o.Required("name"), "pool", seen), Keyed: o.Get("keyed").Bool(), Remote: o.Get("remote").Bool()}
	if pool.Keyed {
		pool.Slots = defaultSlots
		if o.Has("slots") {
			pool.Slots = uint32(o.Get("slots").Int(1, maxSlots))
		}
		if pool.Remote {
			o.Get("remote").AddFault("a keyed pool is always served where its slots are; remote applies only to unkeyed pools")
		}
	} else if o.Has("slots") {
		o.Get("slots").AddFault("an unkeyed pool has no slots")
	}
	readCutoff(o.Get("cutoff"), &pool)
	for _, s := range o.Required("servers").Array() {
		pool.Servers = append(pool.Servers, p.readServer(s, usedAddresses))
	}
	if o.Get("servers").IsKind('[') && len(pool.Servers) == 0 {
		o.Get("servers").AddWarning("the pool has no servers: its requests are refused")
	}
	p.Pools = append(p.Pools, pool)
}

func readCutoff(n jsonc.Node, pool *Pool) {
	switch {
	case !n.Valid():
	case n.IsKind('"'):
		if s := n.Text(); s != "stay" {
			n.AddFault(`cutoff must be "stay" or {"yield": time}, not %s`, jsonc.Quote(s))
		}
	case !n.IsKind('{'):
		n.AddFault(`cutoff must be "stay" or {"yield": time}`)
	case !pool.Keyed:
		n.AddFault("an unkeyed pool has no slots to yield")
	default:
		pool.Yield = n.Object("yield").Required("yield").Duration(maxYield)
	}
}

func (p *parser) readServer(n jsonc.Node, usedAddresses map[netip.AddrPort]string) Server {
	o := n.Object("name", "address", "dc", "slots", "connections", "checks", "leaving")
	s := Server{
		Name:        readUniqueName(o.Required("name"), "server", p.serverNames),
		DC:          o.Required("dc").Name(),
		Slots:       o.Required("slots").Int(1, maxServerLimit),
		Connections: o.Required("connections").Int(1, maxServerLimit),
		Checks:      o.Get("checks").Bool(),
		Leaving:     o.Get("leaving").Bool(),
	}
	s.Address = readServerAddress(o.Required("address"), s.Name, usedAddresses)
	if p.checkInRegion(o.Get("dc"), s.DC) {
		p.servedDCs[s.DC] = true
		if s.Checks {
			p.checkingServers[s.DC]++
		}
	}
	if s.Connections > 0 && s.Connections < s.Slots {
		o.Get("connections").AddFault("%d connections cannot fill %d slots", s.Connections, s.Slots)
	}
	return s
}

func readServerAddress(n jsonc.Node, name string, usedAddresses map[netip.AddrPort]string) netip.AddrPort {
	a := n.Address()
	if !a.IsValid() {
		return a
	}
	// Unmap finds a duplicate that is written as an IPv4-mapped IPv6 address.
	a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		n.AddFault("%s cannot be connected to", a)
		return a
	}
	if other, ok := usedAddresses[a]; ok {
		n.AddFault("address %s is already used by server %q", a, other)
	}
	usedAddresses[a] = name
	return a
}
