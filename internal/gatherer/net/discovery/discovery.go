// Package discovery follows the lot-store list that the agent on this machine serves.
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
	watchTimeout = 2 * time.Second // of one watch: an agent that went silent is noticed soon after, and asking is free
	watchGrace   = time.Second     // past that, the agent is taken for silent
	dialTimeout  = time.Second
	backoffFirst = 20 * time.Millisecond // back-off of reconnects, doubled up to backMost
	backoffMax   = time.Second

	// Where it must be asked, discovery takes up so many watches in a time and has calls past that wait, and fail.
	// One that goes on costs it nothing. Many gatherers that begin or fail at once must not all come at once, nor soon again: so much
	// time is left for each.
	maxUnspread = 4
	turnTime    = 50 * time.Millisecond
	maxTurns    = 4 // failures in a row double the time up to so much

	// A watch that has fallen silent is broken, and what it misses counts as told 2 s after its wait: less graceFor and
	// the dial, this much is left to spread the new watches over.
	reopenSpread = 300 * time.Millisecond
)

// Watcher follows the list.
type Watcher struct {
	Addr  string
	Zones []string
	Log   *slog.Logger
	// Siblings is how many gatherers there are, this one included.
	Instances func() int
	// Asked says whether a call is work for discovery itself. Where it is not, the agent answers with what it was
	// sent anyhow, which counts as told from then on: there is nothing to spare and much to miss.
	Polling func() bool
	// Tell takes the news, in order.
	OnList func(gather.List)
}

// ParseList reads a list in the format of discovery and the configuration.
func ParseList(text []byte, zones []string) (seq int64, l gather.List, err error) {
	if !gjson.ValidBytes(text) { // gjson's getters take garbage
		return 0, l, errors.New("the list is not JSON")
	}
	root := gjson.ParseBytes(text)
	version, whole, hosts := root.Get("seq"), root.Get("whole"), root.Get("hosts")
	if version.Type != gjson.Number || !whole.IsBool() || !hosts.IsArray() {
		return 0, l, errors.New("the list lacks seq, whole or hosts")
	}
	if whole.Bool() {
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

// AppendList formats a list as ParseList reads it.
func AppendList(b []byte, seq int64, list []mem.Server, zones []string) []byte {
	b = fmt.Appendf(b, `{"seq":%d,"whole":true,"hosts":[`, seq)
	for i, s := range list {
		if i > 0 {
			b = append(b, ',')
		}
		born := int64(0)
		if !s.Started.IsZero() {
			born = s.Started.UnixMilli()
		}
		b = append(b, `{"host":`...)
		b = gjson.AppendJSONString(b, s.Name)
		b = append(b, `,"dial":`...)
		b = gjson.AppendJSONString(b, s.Addr)
		b = append(b, `,"site":`...)
		site := ""
		if s.Zone >= 0 && s.Zone < len(zones) { // of one that is gone it may not be known
			site = zones[s.Zone]
		}
		b = gjson.AppendJSONString(b, site)
		b = fmt.Appendf(b, `,"block":%d,"health":%q,"share":%v,"born_ms":%d}`, s.Cell, stateNames[s.State], s.Weight, born)
	}
	return append(b, "]}"...)
}

var stateNames = map[decision.ServerState]string{decision.Ready: "ready", decision.Draining: "draining", decision.Deregistered: "gone"}

var states = map[string]decision.ServerState{"ready": decision.Ready, "draining": decision.Draining, "gone": decision.Deregistered}

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
	if born := h.Get("born_ms").Int(); born > 0 {
		s.Started = time.UnixMilli(born)
	}
	return s, nil
}

// Fresh is the version to Run from where none is had of this address: the whole list is asked for first.
const Fresh = -1

// Run follows the list from a version on until the context ends. Nothing is told after it has returned.
func (w *Watcher) Run(ctx context.Context, seq int64) {
	c := &http1.Client{Addr: w.Addr}
	back, turns, failing := backoffFirst, time.Duration(1), false
	if d := w.startSpread(); d > 0 { // the list from the configuration serves until then
		w.sleep(ctx, rand.N(d))
	}
	for ctx.Err() == nil {
		next, err := w.watch(ctx, c, seq)
		if err == nil {
			if failing {
				w.Log.Info("discovery follows again", "seq", next)
			}
			seq, back, turns, failing = next, backoffFirst, 1, false
			continue // at once: a watch goes on only if the next call comes within 200 ms
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

// pause is how long to leave discovery alone after a failure, more or less: the first after a watch that went on, or one
// of several in a row.
func (w *Watcher) backoff(err error, first bool, back, turns time.Duration) time.Duration {
	d := max(back, turns*w.startSpread())
	if first && errors.Is(err, os.ErrDeadlineExceeded) { // it is silent, and has refused nothing
		d = min(d, reopenSpread)
	}
	return d
}

// round is the time in which all gatherers have had their turn to begin a watch; none where they are few, or where
// asking costs nothing.
func (w *Watcher) startSpread() time.Duration {
	if n := w.Instances(); n > maxUnspread && w.Polling() {
		return time.Duration(n) * turnTime
	}
	return 0
}

// rest waits for a time, more or less.
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

// watch makes one call and tells what it brings.
func (w *Watcher) watch(ctx context.Context, c *http1.Client, seq int64) (int64, error) {
	if err := c.Dial(ctx, dialTimeout); err != nil {
		return 0, err
	}
	defer context.AfterFunc(ctx, c.Aborter())() // a watch that is dropped must not go on waiting, nor tell news
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
	if seq != Fresh && next < seq { // an answer that was long on its way, or an agent that has fallen behind
		return 0, fmt.Errorf("the list went back from version %d to %d", seq, next)
	}
	if ctx.Err() == nil && (l.Kind == decision.FullList || len(l.Servers) > 0) {
		w.OnList(l)
	}
	return next, nil
}
