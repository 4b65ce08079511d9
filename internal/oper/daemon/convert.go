package daemon

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

func encodeStrike(s crash.Strike) *peerpb.Strike {
	return &peerpb.Strike{Fingerprint: s.Fingerprint[:], Server: s.Server, Age: s.Age.Milliseconds()}
}

// decodeStrike decodes a strike and reports whether its fingerprint has the right length.
func decodeStrike(m *peerpb.Strike) (crash.Strike, bool) {
	out := crash.Strike{Server: m.GetServer(), Age: time.Duration(m.GetAge()) * time.Millisecond}
	return out, copy(out.Fingerprint[:], m.GetFingerprint()) == len(out.Fingerprint) && len(m.GetFingerprint()) == len(out.Fingerprint)
}
