// Package discovery watches the list of lot stores that the agent on this machine serves, by long polling.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
)

const (
	watchTimeout = 2 * time.Second // of one long poll: an unresponsive agent is noticed soon after, and asking is cheap
	watchGrace   = time.Second     // beyond that, the agent counts as unresponsive
	dialTimeout  = time.Second
	backoffFirst = 20 * time.Millisecond // back-off of reconnects, doubled up to backoffMax
	backoffMax   = time.Second

	// Where the list is polled, discovery accepts so many new watches in a time; calls beyond that wait, and fail. A
	// watch that continues costs it nothing. Many gatherers that start or fail at once must not all call at once, nor
	// soon again: turnTime is left for each.
	maxUnspread = 4
	turnTime    = 50 * time.Millisecond
	maxTurns    = 4 // failures in a row double the time up to this factor

	// A watch that has timed out is broken, and updates that it misses count as received 2 s after its time-out: less
	// watchGrace and the dial, this much is left to spread the new watches over.
	reopenSpread = 300 * time.Millisecond
)

// Watcher watches the list.
type Watcher struct {
	Addr  string
	Zones []string
	Log   *slog.Logger
	// Instances is how many gatherers there are, this one included.
	Instances func() int
	// Polling reports whether a call is work for discovery itself. Where it is not, the agent answers from what is pushed
	// to it, which counts as received from then on: calls need not be spread, and delay would miss updates.
	Polling func() bool
	// OnList receives the updates, in order.
	OnList func(gather.ServerList)
}

// ParseList parses a list in the format of discovery and the configuration.
func ParseList(text []byte, zones []string) (seq int64, l gather.ServerList, err error) {
	if !gjson.ValidBytes(text) { // gjson's getters take garbage
		return 0, l, errors.New("the list is not JSON")
	}
	root := gjson.ParseBytes(text)
	version, full, hosts := root.Get("seq"), root.Get("whole"), root.Get("hosts")
	if version.Type != gjson.Number || !full.IsBool() || !hosts.IsArray() {
		return 0, l, errors.New("the list lacks seq, whole or hosts")
	}
	if full.Bool() {
		l.Kind = decision.FullList
	}
	hosts.ForEach(func(_, h gjson.Result) bool {
		var s mem.Server
		if s, err = parseHost(h, zones); err == nil {
			l.Servers = append(l.Servers, s)
		}
		return err == nil
	})
	return version.Int(), l, err
}

// AppendList appends a list in the format of ParseList.
func AppendList(b []byte, seq int64, list []mem.Server, zones []string) []byte {
	b = fmt.Appendf(b, `{"seq":%d,"whole":true,"hosts":[`, seq)
	for i, s := range list {
		if i > 0 {
			b = append(b, ',')
		}
		started := int64(0)
		if !s.Started.IsZero() {
			started = s.Started.UnixMilli()
		}
		b = append(b, `{"host":`...)
		b = gjson.AppendJSONString(b, s.Name)
		b = append(b, `,"dial":`...)
		b = gjson.AppendJSONString(b, s.Addr)
		b = append(b, `,"site":`...)
		site := ""
		if s.Zone >= 0 && s.Zone < len(zones) { // of a deregistered one it may be unknown
			site = zones[s.Zone]
		}
		b = gjson.AppendJSONString(b, site)
		b = fmt.Appendf(b, `,"block":%d,"health":%q,"share":%v,"born_ms":%d}`, s.Cell, stateNames[s.State], s.Weight, started)
	}
	return append(b, "]}"...)
}

var stateNames = map[decision.ServerState]string{decision.Ready: "ready", decision.Draining: "draining", decision.Deregistered: "gone"}

var states = map[string]decision.ServerState{"ready": decision.Ready, "draining": decision.Draining, "gone": decision.Deregistered}

// parseHost parses one entry of a list.
// parseHost parses one entry of a list.
func parseHost(h gjson.Result, zones []string) (mem.Server, error) {
	s := mem.Server{Name: h.Get("host").String(), Addr: h.Get("dial").String(), Cell: int(h.Get("block").Int()),
		Weight: h.Get("share").Float(), Zone: -1}
	for i, z := range zones {
		if z == h.Get("site").String() {
			s.Zone = i
		}
	}
	state, ok := states[h.Get("health").String()]
	s.State = state
	switch {
	case s.Name == "":
		return s, errors.New("the list has a line without host")
	case !ok:
		return s, fmt.Errorf("the list has an unknown health for host %.80q", s.Name)
	case state != decision.Deregistered && (s.Addr == "" || s.Zone < 0):
		return s, fmt.Errorf("the list has no dial or an unknown site for host %.80q", s.Name)
	}
	if started := h.Get("born_ms").Int(); started > 0 {
		s.Started = time.UnixMilli(started)
	}
	return s, nil
}

// Fresh is the version to Run from where none is known of this address: the full list is requested first.
const Fresh = -1

// Run watches the list from a version on until the context ends. OnList is not called after it has returned.
func (w *Watcher) Run(ctx context.Context, seq int64) {
	c := &http1.Client{Addr: w.Addr}
	back, turns, failing := backoffFirst, time.Duration(1), false
	if d := w.startSpread(); d > 0 { // the list of the configuration is used until then
		w.sleep(ctx, rand.N(d))
	}
	for ctx.Err() == nil {
		next, err := w.watch(ctx, c, seq)
		if err == nil {
			if failing {
				w.Log.Info("discovery follows again", "seq", next)
			}
			seq, back, turns, failing = next, backoffFirst, 1, false
			continue // at once: a watch continues only if the next call is made within 200 ms
		}
		c.Close()
		if ctx.Err() != nil {
			return
		}
		if !failing {
			w.Log.Warn("discovery fails", "reason", err)
		}
		w.sleep(ctx, w.backoff(err, !failing, back, turns))
		failing = true
		back, turns = min(2*back, backoffMax), min(2*turns, maxTurns)
	}
	c.Close()
}

// backoff is how long to wait after a failure, before jitter: the first after a successful watch, or one of several in a
// row.
func (w *Watcher) backoff(err error, first bool, back, turns time.Duration) time.Duration {
	d := max(back, turns*w.startSpread())
	if first && errors.Is(err, os.ErrDeadlineExceeded) { // it timed out, and has rejected nothing
		d = min(d, reopenSpread)
	}
	return d
}

// startSpread is the time over which all gatherers spread their new watches; 0 where they are few, or where a call costs
// nothing.
func (w *Watcher) startSpread() time.Duration {
	if n := w.Instances(); n > maxUnspread && w.Polling() {
		return time.Duration(n) * turnTime
	}
	return 0
}

// sleep waits for a time with jitter, or until the context ends.
func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// watch watches an agent from version 3 on, as one of so many gatherers, until the test ends, and returns its
// updates.
func (w *Watcher) watch(ctx context.Context, c *http1.Client, seq int64) (int64, error) {
	if err := c.Dial(ctx, dialTimeout); err != nil {
		return 0, err
	}
	defer context.AfterFunc(ctx, c.Aborter())() // a stopped watch must neither wait nor report
	now, wait := time.Now(), max(watchTimeout, w.startSpread())
	target := "/api/targets?since=" + strconv.FormatInt(seq, 10) + "&timeout_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	if seq == Fresh {
		target = "/api/targets"
	}
	if err := c.Write(now.Add(dialTimeout), "GET", target, nil, nil); err != nil {
		return 0, err
	}
	p, err := c.Read(now.Add(wait + watchGrace))
	if err != nil {
		return 0, err
	}
	defer p.Release()
	if p.Status != 200 {
		return 0, fmt.Errorf("status %d", p.Status)
	}
	next, l, err := ParseList(p.Body, w.Zones)
	if err != nil {
		return 0, err
	}
	if seq == Fresh && l.Kind != decision.FullList {
		return 0, errors.New("the list is not whole")
	}
	if seq != Fresh && next < seq { // a delayed answer, or an agent that is behind
		return 0, fmt.Errorf("the list went back from version %d to %d", seq, next)
	}
	if ctx.Err() == nil && (l.Kind == decision.FullList || len(l.Servers) > 0) {
		w.OnList(l)
	}
	return next, nil
}
