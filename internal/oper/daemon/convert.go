package daemon

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// recorded returns the form in which the ledger keeps an answer.
func recorded(a work.Answer) *record.Answer {
	out := &record.Answer{Status: uint32(a.Status), Body: a.Body}
	for _, h := range a.Headers {
		out.Headers = append(out.Headers, &record.Header{Name: h.Name, Value: h.Value})
	}
	return out
}

// replayed returns an answer that the ledger kept.
func replayed(a *record.Answer) work.Answer {
	out := work.Answer{Status: int(a.GetStatus()), Body: a.GetBody()}
	for _, h := range a.GetHeaders() {
		out.Headers = append(out.Headers, work.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return out
}

func strikeMessage(s crash.Strike) *peerpb.Strike {
	return &peerpb.Strike{Fingerprint: s.Print[:], Server: s.Server, Age: s.Age.Milliseconds()}
}

// strike reads a strike of another instance; it reports false for a damaged one.
func strike(m *peerpb.Strike) (crash.Strike, bool) {
	out := crash.Strike{Server: m.GetServer(), Age: time.Duration(m.GetAge()) * time.Millisecond}
	return out, copy(out.Print[:], m.GetFingerprint()) == len(out.Print) && len(m.GetFingerprint()) == len(out.Print)
}
