package load

import "time"

// Kind is one kind of requests.
type Kind struct {
	Name, Rank, Method string
	Path               string  // a key is appended if Keys is above zero
	Keys               uint64  // number of different keys, chosen by a Zipf distribution
	Capacity           float64 // requests that the servers of the pool run at a time
	Load               float64 // part of the capacity that arrives when nothing floods
	Flood              string  // scenario in which this kind floods
	Header             string  // that carries the identity of POST requests; without it equal bodies are one
	Worth              float64
	Target, Patience   time.Duration // a caller sends again after its patience
}

// slots is the number of requests that each server of the example tables runs at a time.
const slots = 3

// profiles are the kinds of work of the example tables. Loads add up to about half of the capacity of a pool.
var profiles = map[string][]Kind{
	"skyggevaev": {
		{Name: "deposit", Rank: "urgent", Method: "POST", Path: "/deposits", Header: "X-Deposit-Id", Capacity: 8 * slots, Load: 0.3, Target: 500 * time.Millisecond, Worth: 20, Patience: 10 * time.Second},
		{Name: "order", Rank: "urgent", Method: "POST", Path: "/orders", Capacity: 13 * slots, Load: 0.3, Target: 500 * time.Millisecond, Worth: 20, Patience: 10 * time.Second},
		{Name: "order-state", Rank: "normal", Method: "GET", Path: "/orders/", Keys: 10_000, Capacity: 13 * slots, Load: 0.2, Target: 250 * time.Millisecond, Worth: 3, Patience: 2 * time.Second},
		{Name: "reserve", Rank: "urgent", Method: "POST", Path: "/stock/", Keys: 100_000, Header: "X-Order-Id", Capacity: 20 * slots, Load: 0.02, Flood: "flood-urgent", Target: 500 * time.Millisecond, Worth: 20, Patience: 5 * time.Second},
		{Name: "stock", Rank: "normal", Method: "GET", Path: "/stock/", Keys: 100_000, Capacity: 20 * slots, Load: 0.3, Target: 250 * time.Millisecond, Worth: 3, Patience: 2 * time.Second},
		{Name: "mesh", Rank: "bulk", Method: "GET", Path: "/mesh/", Keys: 100_000, Capacity: 20 * slots, Load: 0.2, Flood: "flood-low", Target: 2 * time.Second, Worth: 1, Patience: 4 * time.Second},
	},
	"association": {
		{Name: "booking", Rank: "urgent", Method: "POST", Path: "/bookings", Header: "X-Booking-Id", Capacity: 8 * slots, Load: 0.3, Target: 50 * time.Millisecond, Worth: 10, Patience: 5 * time.Second},
		{Name: "booking-state", Rank: "normal", Method: "GET", Path: "/bookings/", Keys: 10_000, Capacity: 8 * slots, Load: 0.2, Target: 250 * time.Millisecond, Worth: 3, Patience: 2 * time.Second},
		{Name: "lookup", Rank: "urgent", Method: "GET", Path: "/chairs/", Keys: 100_000, Capacity: 14 * slots, Load: 0.4, Flood: "flood-urgent", Target: 50 * time.Millisecond, Worth: 10, Patience: time.Second},
		{Name: "calendar", Rank: "normal", Method: "GET", Path: "/calendar?shop=", Keys: 100_000, Capacity: 14 * slots, Load: 0.1, Target: 250 * time.Millisecond, Worth: 3, Patience: 2 * time.Second},
		{Name: "settlement", Rank: "bulk", Method: "POST", Path: "/settlements", Header: "X-Settlement-Id", Capacity: 8 * slots, Load: 0.5, Flood: "flood-low", Target: 5 * time.Second, Worth: 1, Patience: 30 * time.Second},
	},
}

// Kinds returns the kinds of work of a profile.
func Kinds(profile string) []Kind { return profiles[profile] }
