// Package logging makes the daemon's structured log: one line per event, as text or as JSON, with bursts of one event
// sampled. Events have key fields and never a client's body.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Format is the format of log lines.
type Format string

// The formats.
const (
	Console Format = "console" // time, level, event and fields as name=value
	JSON    Format = "json"
)

// Config configures a logger.
type Config struct {
	Out    io.Writer
	Format Format
	Level  *slog.LevelVar // least level that is logged; it may change at any time
	// At most this many lines of one event are logged in any Span, followed by a line with the number of lines left out.
	// 0 logs all.
	MaxLines int
	Span     time.Duration
}

// ParseLevel parses a level: debug, info, warn or error.
func ParseLevel(s string) (slog.Level, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(s)); err != nil {
		return l, fmt.Errorf("level %.20q is none of debug, info, warn and error", s)
	}
	return l, nil
}

// New returns a logger.
func New(c Config) *slog.Logger {
	o := &slog.HandlerOptions{Level: c.Level, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.MessageKey {
			a.Key = "event"
		}
		return a
	}}
	var h slog.Handler = slog.NewTextHandler(c.Out, o)
	if c.Format == JSON {
		h = slog.NewJSONHandler(c.Out, o)
	}
	if c.MaxLines > 0 {
		h = &sampler{Handler: h, maxLines: c.MaxLines, span: c.Span, seen: &seen{events: map[string]*event{}}}
	}
	return slog.New(h)
}

// sampler passes at most maxLines lines of each event in each span.
type sampler struct {
	slog.Handler
	maxLines int
	span     time.Duration
	seen     *seen
}

// seen counts events. Samplers of one logger share it.
type seen struct {
	mu     sync.Mutex
	events map[string]*event
}

// event counts one event in its current span. Events are named in the code, so there are few.
type event struct {
	started        time.Time
	lines, dropped int
}

// Handle implements slog.Handler.
func (s *sampler) Handle(ctx context.Context, r slog.Record) error {
	s.seen.mu.Lock()
	e := s.seen.events[r.Message]
	if e == nil {
		e = &event{started: r.Time}
		s.seen.events[r.Message] = e
	}
	dropped := 0
	if r.Time.Sub(e.started) >= s.span {
		dropped = e.dropped
		*e = event{started: r.Time}
	}
	e.lines++
	pass := e.lines <= s.maxLines
	if !pass {
		e.dropped++
	}
	s.seen.mu.Unlock()
	if dropped > 0 {
		x := slog.NewRecord(r.Time, slog.LevelWarn, "left out", 0)
		x.AddAttrs(slog.String("of", r.Message), slog.Int("lines", dropped))
		if err := s.Handler.Handle(ctx, x); err != nil {
			return err
		}
	}
	if !pass {
		return nil
	}
	return s.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (s *sampler) WithAttrs(a []slog.Attr) slog.Handler {
	return &sampler{s.Handler.WithAttrs(a), s.maxLines, s.span, s.seen}
}

// WithGroup implements slog.Handler.
func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{s.Handler.WithGroup(name), s.maxLines, s.span, s.seen}
}
