// Package events logs what happens in an instance. Each event is one line of key=value pairs: time, level and event name
// first, then the subsystem and the event's own pairs.
package events

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// Logger writes events. It may be used by many goroutines. A nil Logger writes nothing.
type Logger struct {
	out             zerolog.Logger
	now             func() time.Time
	debugSubsystems []string
	subsystem       string
}

// New returns a logger that makes one Write call to w per event. Debug events are written only for the subsystems
// listed in debug.
func New(w io.Writer, now func() time.Time, debug []string) *Logger {
	return &Logger{out: zerolog.New(&lineWriter{out: w}), now: now, debugSubsystems: debug}
}

// For returns a logger that adds the subsystem to each event and writes debug events if they are enabled for it.
func (l *Logger) For(subsystem string) *Logger {
	if l == nil {
		return nil
	}
	sub := *l
	sub.subsystem = subsystem
	return &sub
}

// IsDebugEnabled reports whether debug events of this subsystem are written. Check it before computing costly values.
func (l *Logger) IsDebugEnabled() bool {
	return l != nil && slices.Contains(l.debugSubsystems, l.subsystem)
}

// Debug writes an event that matters only for debugging. pairs are alternating keys, which are strings, and values, as
// in the other methods.
func (l *Logger) Debug(event string, pairs ...any) {
	if l.IsDebugEnabled() {
		l.write(zerolog.DebugLevel, event, pairs)
	}
}

// Info writes an event of normal operation.
func (l *Logger) Info(event string, pairs ...any) { l.write(zerolog.InfoLevel, event, pairs) }

// Warn writes an event that an operator should know about but need not act on.
func (l *Logger) Warn(event string, pairs ...any) { l.write(zerolog.WarnLevel, event, pairs) }

// Error writes an event that an operator must act on.
func (l *Logger) Error(event string, pairs ...any) { l.write(zerolog.ErrorLevel, event, pairs) }

func (l *Logger) write(level zerolog.Level, event string, pairs []any) {
	if l == nil {
		return
	}
	e := l.out.Log().Str("time", l.now().UTC().Format(timeFormat)).Str("level", level.String()).Str("event", event)
	if l.subsystem != "" {
		e = e.Str("subsystem", l.subsystem)
	}
	for i := 0; i+1 < len(pairs); i += 2 {
		e = addPair(e, fmt.Sprint(pairs[i]), pairs[i+1])
	}
	e.Send()
}

// timeFormat has a fixed width, so that lines can be sorted as text.
const timeFormat = "2006-01-02T15:04:05.000Z"

// addPair adds a pair to e. Values other than booleans, int, uint64 and string are formatted by fmt.
func addPair(e *zerolog.Event, key string, value any) *zerolog.Event {
	switch v := value.(type) {
	case nil:
		return e.Str(key, "")
	case bool:
		return e.Bool(key, v)
	case int:
		return e.Int(key, v)
	case uint64:
		return e.Uint64(key, v)
	case string:
		return e.Str(key, v)
	default:
		return e.Str(key, fmt.Sprint(v))
	}
}
