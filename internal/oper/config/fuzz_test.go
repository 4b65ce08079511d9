package config_test

import (
	"testing"

	"github.com/bramleycove/bramleycove/internal/oper/config"
	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
)

// FuzzParse guards against settings that crash the parser or that are accepted although they have faults.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"instance":"i1","dc":"d","region":"r","caller":"127.0.0.1:0","peer":"127.0.0.1:0","admin":"127.0.0.1:0",` +
		`"log":"127.0.0.1:1","list":"127.0.0.1:2","proxies":{"127.0.0.1:3":"127.0.0.1:4"},"link":2500000}`))
	f.Add([]byte(`{"limits":{"header":"8 KiB"},"seeds":[1],"proxies":{"x":null},"debug":"place"} // `))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, faults := config.Parse("settings", data)
		if (cfg == nil) != jsonc.HasErrors(faults) {
			t.Fatalf("got settings %v with faults %v", cfg, faults)
		}
	})
}
