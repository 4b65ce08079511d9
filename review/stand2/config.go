package main

import (
	"fmt"

	"github.com/goccy/go-json"
)

// maxHeaderBytes is the published limit of the head of a request.
const maxHeaderBytes = 16384

// route is a route of a configuration.
type route struct{ name, prefix, kind, service string }

// hexVersion returns a version as configurations name it.
func hexVersion(n int) string { return fmt.Sprintf("%08x", n) }

// publish writes a configuration. Services whose names begin with keyedPrefix are divided by key.
func (f *fleet) publish(version int, routes ...route) error {
	item := func(kind, name string, spec map[string]any) map[string]any {
		return map[string]any{"record-type": kind, "metadata": map[string]any{"name": name}, "spec": spec}
	}
	items := []any{item("limits", "", map[string]any{
		"max-header-bytes": maxHeaderBytes, "max-body-bytes": 1 << 20, "header-timeout-s": 3, "idle-timeout-s": 15,
	})}
	named := make(map[string]bool)
	for _, r := range routes {
		items = append(items, item("routes", r.name, map[string]any{
			"host": host, "path-prefix": r.prefix, "kind": r.kind, "timeout-s": 2, "target-latency-s": 0.6, "priority": 1, "service": r.service,
			"max-attempts": 2,
		}))
		if named[r.service] {
			continue
		}
		named[r.service] = true
		spec := map[string]any{"health-path": "/health", "max-conns": 130, "protocol": "h1", "tls": false}
		if isKeyed(r.service) {
			spec["sharded"], spec["warm-s"], spec["grants"] = true, 2, "direct"
		}
		items = append(items, item("services", r.service, spec))
	}
	data, err := json.Marshal(map[string]any{"version": hexVersion(version), "resources": items})
	if err != nil {
		return err
	}
	f.store.put("keyed.op", "config", string(data))
	return nil
}
