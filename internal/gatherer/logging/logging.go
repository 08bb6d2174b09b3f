// Package logging makes the daemon's structured log: one line an event, for people or as JSON, with storms of one event
// held down to a count. Events carry fields and never a client's body.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Format is how lines look.
type Format string

// The formats.
const (
	Console Format = "console" // time, level, event and fields as name=value
	JSON    Format = "json"
)

// Config says how to log.
type Config struct {
	Out    io.Writer
	Format Format
	Level  *slog.LevelVar // what is under it is left out; it may change at any time
	// Most lines of one event in any Span go out, and behind them one that tells how many were left out. 0 for all.
	Most int
	Span time.Duration
}

// ParseLevel reads a level: debug, info, warn or error.
func ParseLevel(s string) (slog.Level, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(s)); err != nil {
		return l, fmt.Errorf("level %.20q is none of debug, info, warn and error", s)
	}
	return l, nil
}

// New makes a logger.
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
	if c.Most > 0 {
		h = &sampler{Handler: h, most: c.Most, span: c.Span, seen: &seen{events: map[string]*event{}}}
	}
	return slog.New(h)
}

// sampler lets so many lines of each event through in each span.
type sampler struct {
	slog.Handler
	most int
	span time.Duration
	seen *seen
}

type seen struct {
	mu     sync.Mutex
	events map[string]*event
}

// event is one event's span. Events are named in the code, so that there are few.
type event struct {
	begun        time.Time
	lines, short int
}

func (s *sampler) Handle(ctx context.Context, r slog.Record) error {
	s.seen.mu.Lock()
	e := s.seen.events[r.Message]
	if e == nil {
		e = &event{begun: r.Time}
		s.seen.events[r.Message] = e
	}
	left := 0
	if r.Time.Sub(e.begun) >= s.span {
		left = e.short
		*e = event{begun: r.Time}
	}
	e.lines++
	pass := e.lines <= s.most
	if !pass {
		e.short++
	}
	s.seen.mu.Unlock()
	if left > 0 {
		x := slog.NewRecord(r.Time, slog.LevelWarn, "left out", 0)
		x.AddAttrs(slog.String("of", r.Message), slog.Int("lines", left))
		if err := s.Handler.Handle(ctx, x); err != nil {
			return err
		}
	}
	if !pass {
		return nil
	}
	return s.Handler.Handle(ctx, r)
}

func (s *sampler) WithAttrs(a []slog.Attr) slog.Handler {
	return &sampler{s.Handler.WithAttrs(a), s.most, s.span, s.seen}
}

func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{s.Handler.WithGroup(name), s.most, s.span, s.seen}
}
