// Package opapi defines the answers of an instance's operator interface and provides a client for it.
package opapi

// Status is the answer to GET /status.
type Status struct {
	Instance         string `json:"instance"` // id with incarnation
	DC               string `json:"dc"`
	Region           string `json:"region"`
	ConfigVersion    uint64 `json:"config"` // version of the tables in force
	PlaceOffset      uint64 `json:"place"`  // offset of the last place record applied
	IsController     bool   `json:"controller"`
	Term             uint64 `json:"term"` // Term and Epoch are the highest pair seen
	Epoch            uint32 `json:"epoch"`
	Ready            bool   `json:"ready"` // the instance serves callers
	Leaving          bool   `json:"leaving"`
	Lanes            []Lane `json:"lanes"`
	QuarantinedCount int    `json:"quarantine"` // fingerprints in quarantine
}

// Lane describes a lane that the instance dispatches.
type Lane struct {
	Name    string   `json:"name"`
	Pool    string   `json:"pool"`
	Servers []string `json:"servers"`
	Slots   int      `json:"slots"` // of a keyed pool
	Queued  int      `json:"queued"`
	Running int      `json:"running"`
}

// Explanation is the answer to GET /explain: where a request would go and why. Fields that do not apply are empty.
type Explanation struct {
	Route      string `json:"route"`
	Rank       string `json:"rank"`
	Tenant     string `json:"tenant"`
	Pool       string `json:"pool"`
	Key        string `json:"key"`
	Slot       uint32 `json:"slot"`
	Home       string `json:"home"`
	Owner      string `json:"owner"`
	Token      uint64 `json:"token"`
	Lane       string `json:"lane"`
	Dispatcher string `json:"dispatcher"`
	Reason     string `json:"reason"` // why the request would be refused, empty if it would be sent
}
