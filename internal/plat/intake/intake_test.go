package intake_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

const limit = 1 << 20

func begin(b *intake.Budget, at time.Time, yields bool) (p *intake.Part, cut *bool) {
	cut = new(bool)
	return b.Begin(at, yields, func() { *cut = true }), cut
}

// Guards against parts of stalled remote sides, or of newcomers, that keep the bytes which an older part needs, and against
// cutting an older part that moves.
func TestCuts(t *testing.T) {
	now := time.Now()
	b := intake.New(limit)
	stalled, stalledCut := begin(b, now.Add(-2*time.Second), true)
	old, oldCut := begin(b, now, true)
	young, youngCut := begin(b, now, true)
	for _, p := range []*intake.Part{stalled, old, young} {
		if !p.Take(now, limit/3) {
			t.Fatal("no bytes for the first parts")
		}
	}
	if young.Take(now, limit/4) || !*stalledCut || *oldCut || *youngCut {
		t.Errorf("a newcomer needs bytes: stalled, older, newcomer cut %v, %v, %v", *stalledCut, *oldCut, *youngCut)
	}
	stalled.End()
	if !young.Take(now, limit/4) {
		t.Error("the stalled part's bytes were not freed")
	}
	if now = now.Add(100 * time.Millisecond); old.Take(now, limit/3) || !*youngCut || *oldCut || !young.IsCut() {
		t.Errorf("the older part needs bytes: newcomer cut %v, older %v", *youngCut, *oldCut)
	}
	if b.Used() > limit {
		t.Errorf("%d bytes are used", b.Used())
	}
	young.End()
	old.End()
	if refused, cuts := b.Refusals(); b.Used() != 0 || cuts != 2 || refused != 0 {
		t.Errorf("%d bytes used, %d cuts, %d refusals at the end", b.Used(), cuts, refused)
	}
}

// Guards against short requests that find no bytes while long ones, which are not cut, use the whole limit, and against answers
// that callers read slowly.
func TestReserveAndWriters(t *testing.T) {
	now := time.Now()
	b := intake.New(limit)
	answer, answerCut := begin(b, now, false)
	b.Add(limit)
	answer.Weigh(limit)
	long, _ := begin(b, now, true)
	short, _ := begin(b, now, true)
	if !short.Take(now, 10<<10) || long.Take(now, 100<<10) || *answerCut {
		t.Errorf("beside an answer that moves: answer cut %v", *answerCut)
	}
	if later := now.Add(2 * time.Second); long.Take(later, 100<<10) || !*answerCut {
		t.Error("an answer that nobody reads is not cut")
	}
}

// Guards against bodies that cost many times their size, that are longer than their limit, or that end early.
func TestReadBody(t *testing.T) {
	data := bytes.Repeat([]byte("abc"), 50_000)
	for name, c := range map[string]struct {
		length, limit int
		want          error
	}{
		"announced":           {len(data), limit, nil},
		"unknown":             {-1, limit, nil},
		"just fits":           {-1, len(data), nil},
		"too long":            {-1, len(data) - 1, intake.ErrTooLong},
		"announced too long":  {len(data), len(data) - 1, intake.ErrTooLong},
		"ends early":          {len(data) + 1, limit, io.ErrUnexpectedEOF},
		"more than announced": {len(data) - 3, limit, nil},
	} {
		b := intake.New(limit)
		p, _ := begin(b, time.Now(), true)
		body, err := p.ReadBody(iotest.OneByteReader(bytes.NewReader(data)), c.length, c.limit)
		want := data
		if c.length >= 0 && c.length < len(data) {
			want = data[:c.length]
		}
		if err != c.want || err == nil && !bytes.Equal(body, want) {
			t.Errorf("%s: %d bytes, %v", name, len(body), err)
		}
		if b.Used() > 2*int64(len(data)) || int(b.Used()) < cap(body) {
			t.Errorf("%s: %d bytes are counted for a buffer of %d", name, b.Used(), cap(body))
		}
	}
	b := intake.New(100 << 10)
	p, _ := begin(b, time.Now(), true)
	if _, err := p.ReadBody(bytes.NewReader(data), -1, limit); err != intake.ErrOver {
		t.Errorf("beyond the budget: %v", err)
	}
}
