package logsvc

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// Era is a restoration of the log from an older copy. The stream has lost its records from offset First on.
type Era struct {
	Number, First uint64
}

// recoveryTime is how long after a restoration only lost records are appended. Readers find it within 3 s, the longest pause
// between their attempts.
const recoveryTime = 4 * time.Second

// Headers of all answers of a log that was restored: its eras as NUMBER=FIRST, oldest first, and the age of the newest in
// milliseconds.
const (
	headerEras   = "Log-Eras"
	headerEraAge = "Log-Era-Age"
)

// eraState is what a client knows of the log's eras.
type eraState struct {
	mu      sync.Mutex
	era     uint64
	since   time.Time
	entered map[string]uint64 // newest era of which a stream is known to have the record
}

// noteEras takes the eras of an answer and returns them.
func (s *eraState) noteEras(now time.Time, resp *fasthttp.Response) (eras []Era) {
	for part := range strings.SplitSeq(string(resp.Header.Peek(headerEras)), ",") {
		number, first, _ := strings.Cut(part, "=")
		n, err := strconv.ParseUint(number, 10, 64)
		f, err2 := strconv.ParseUint(first, 10, 64)
		if err == nil && err2 == nil {
			eras = append(eras, Era{Number: n, First: f})
		}
	}
	if len(eras) == 0 {
		return nil
	}
	age, err := strconv.ParseInt(string(resp.Header.Peek(headerEraAge)), 10, 64)
	if err != nil {
		age = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if newest := eras[len(eras)-1].Number; newest > s.era {
		s.era, s.since = newest, now.Add(-time.Duration(max(0, age))*time.Millisecond)
	}
	return eras
}

func (s *eraState) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// mayEnter returns the current era, and whether a stream is known to have its record. It fails while the log recovers.
func (s *eraState) mayEnter(now time.Time, stream string) (era uint64, entered bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if left := s.since.Add(recoveryTime).Sub(now); s.era > 0 && left > 0 {
		refused := &StatusError{Stream: stream, Status: fasthttp.StatusServiceUnavailable}
		return s.era, false, fmt.Errorf("the log was restored and takes no new records for %v: %w", left, refused)
	}
	return s.era, s.era == 0 || s.entered[stream] == s.era, nil
}

// enterEra appends the record of the current era to a stream, unless that has it.
func (c *Client) enterEra(ctx context.Context, stream string) (era uint64, err error) {
	era, entered, err := c.mayEnter(time.Now(), stream)
	if err != nil || entered {
		return era, err
	}
	data, err := proto.Marshal(&record.Record{Kind: &record.Record_Era{Era: &record.Era{Number: era}}})
	if err != nil {
		return 0, err
	}
	if _, err := c.appendIn(ctx, stream, data, era, 0); err != nil {
		// Only the record of the era may have been appended, which readers may get twice.
		return 0, fmt.Errorf("begin era %d: %w", era, &StatusError{Stream: stream, Status: fasthttp.StatusServiceUnavailable})
	}
	c.NoteEntered(stream, era)
	return era, nil
}

// NoteEntered notes that a stream has the record of an era.
func (s *eraState) NoteEntered(stream string, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entered == nil {
		s.entered = make(map[string]uint64)
	}
	s.entered[stream] = max(s.entered[stream], era)
}
