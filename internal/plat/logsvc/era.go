package logsvc

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Era is a restoration of the log from an older copy. The stream has lost its records from offset First on.
type Era struct {
	Number, First uint64
}

// FirstLost returns the lowest offset at which the log lost records since an era, and the newest era. Without one, lost is 0.
func FirstLost(eras []Era, since uint64) (lost, newest uint64) {
	newest = since
	for _, e := range eras {
		if e.Number <= since {
			continue
		}
		newest = max(newest, e.Number)
		if lost == 0 || e.First < lost {
			lost = e.First
		}
	}
	return lost, newest
}

// Headers of all answers of a log that was restored: its eras as NUMBER=FIRST, oldest first, and the age of the newest in
// milliseconds.
const (
	headerEras   = "Log-Eras"
	headerEraAge = "Log-Era-Age"
)

// eraState is what a client knows of the log's eras.
type eraState struct {
	mu      sync.Mutex
	era     uint64            // the newest
	entered map[string]uint64 // newest era of which a stream is known to have the record
}

// noteEras takes the eras of an answer and returns them, and the age of the newest.
func (s *eraState) noteEras(resp *fasthttp.Response) (eras []Era, age time.Duration) {
	for part := range strings.SplitSeq(string(resp.Header.Peek(headerEras)), ",") {
		number, first, _ := strings.Cut(part, "=")
		n, err := strconv.ParseUint(number, 10, 64)
		f, err2 := strconv.ParseUint(first, 10, 64)
		if err == nil && err2 == nil {
			eras = append(eras, Era{Number: n, First: f})
		}
	}
	if len(eras) == 0 {
		return nil, 0
	}
	// Without an age the era counts as new: new records only wait longer.
	millis, _ := strconv.ParseInt(string(resp.Header.Peek(headerEraAge)), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = max(s.era, eras[len(eras)-1].Number)
	return eras, time.Duration(max(0, millis)) * time.Millisecond
}

func (s *eraState) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
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

// checkEntered returns the current era, and an error until the stream is known to have its record.
func (s *eraState) checkEntered(stream string) (era uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entered[stream] < s.era {
		refused := &StatusError{Stream: stream, Status: fasthttp.StatusServiceUnavailable}
		return s.era, fmt.Errorf("the log was restored and gets its lost records again: %w", refused)
	}
	return s.era, nil
}
