// Package lots is a fake of lot stores that hold farm machinery lots and answer the published query API: a seeded corpus by
// range, replicas that see it as of their last refresh, and scripted faults.
package lots

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/blevesearch/bleve/v2/analysis"
	"github.com/blevesearch/bleve/v2/analysis/token/lowercase"
	"github.com/blevesearch/bleve/v2/analysis/token/porter"
	"github.com/blevesearch/bleve/v2/analysis/tokenizer/unicode"
)

// Lot is one lot as listed.
type Lot struct {
	ID       string  `json:"-"`
	Title    string  `json:"title"`
	Make     string  `json:"make"`
	Year     int     `json:"year"`
	Price    float64 `json:"price,omitempty"` // 0 for none yet
	Closing  int64   `json:"closing"`         // Unix time in milliseconds
	Location string  `json:"location"`
	Text     string  `json:"description"`

	version int64
	terms   map[string]int // of the title
	length  int
}

// view is a range at one version. It is immutable.
type view struct {
	version int64
	lots    []*Lot
}

// Corpus is the data that all replicas of all ranges see eventually.
type Corpus struct {
	analyse *analysis.DefaultAnalyzer
	df      map[string]int // lots whose title has a term, of the first corpus: so scores compare across ranges
	n       float64
	mean    float64 // length of a title

	mu     sync.Mutex
	ranges []*view
}

var (
	makes = []string{"John Deere", "Case IH", "New Holland", "Claas", "Fendt", "Kubota", "Massey Ferguson", "Valtra", "LS", "Daedong"}
	kinds = []string{"tractor", "combine harvester", "baler", "seed drill", "sprayer", "plough", "rice transplanter", "forage wagon",
		"telehandler", "cultivator", "mower", "trailer", "rotary tiller", "potato harvester", "grain dryer", "front loader"}
	extras    = []string{"with cab", "low hours", "needs repair", "one owner", "with front loader", "GPS ready", "four wheel drive", "new tyres", "for parts"}
	locations = []string{"Cheonan", "Pyeongtaek", "Iksan", "Naju", "Gimje", "Yeoju"}
)

// Kinds returns the words to search for.
func Kinds() []string { return slices.Clone(kinds) }

// New makes a corpus of so many ranges with so many lots each, the same for the same seed. Lots are ranged by sale, so that a
// range has mostly one kind of machine.
func New(seed uint64, ranges, each int) *Corpus {
	rng := rand.New(rand.NewPCG(seed, 2))
	c := &Corpus{df: map[string]int{}, analyse: &analysis.DefaultAnalyzer{Tokenizer: unicode.NewUnicodeTokenizer(),
		TokenFilters: []analysis.TokenFilter{lowercase.NewLowerCaseFilter(), porter.NewPorterStemmer()}}}
	total := 0
	for r := range ranges {
		v := &view{version: 1}
		for i := range each {
			kind := kinds[(r/2)%len(kinds)]
			if rng.IntN(8) == 0 {
				kind = kinds[rng.IntN(len(kinds))]
			}
			maker := makes[rng.IntN(len(makes))]
			l := &Lot{ID: fmt.Sprintf("lot-%d-%d", r, i), Make: maker, Year: 1990 + rng.IntN(36), Closing: 1_790_000_000_000 + int64(rng.IntN(1e9)),
				Title:    fmt.Sprintf("%s %s %d %s", maker, kind, 100+rng.IntN(900), extras[rng.IntN(len(extras))]),
				Location: locations[rng.IntN(len(locations))], Price: math.Round(500 * math.Exp(rng.Float64()*5+float64(r%16)/4)),
				Text: "Lot sold as seen. Viewing by appointment; removal within ten days of the sale. Payment in full before removal."}
			if rng.IntN(20) == 0 {
				l.Price = 0
			}
			c.learn(l)
			for t := range l.terms {
				c.df[t]++
			}
			total += l.length
			v.lots = append(v.lots, l)
		}
		c.ranges = append(c.ranges, v)
	}
	c.n = float64(ranges * each)
	c.mean = float64(total) / max(c.n, 1)
	return c
}

// learn analyses the title of a lot.
func (c *Corpus) learn(l *Lot) {
	l.version++
	l.terms, l.length = map[string]int{}, 0
	for _, t := range c.words(l.Title) {
		l.terms[t]++
		l.length++
	}
}

// words are the terms of a text.
func (c *Corpus) words(text string) (words []string) {
	for _, t := range c.analyse.Analyze([]byte(text)) {
		words = append(words, string(t.Term))
	}
	return words
}

// Merged is a corpus of one range with all lots as they are now, and the same scores.
func (c *Corpus) Merged() *Corpus {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := &view{version: 1}
	for _, v := range c.ranges {
		lots := slices.Clone(v.lots)
		slices.SortFunc(lots, func(a, b *Lot) int { return strings.Compare(a.ID, b.ID) }) // the order of ties
		all.lots = append(all.lots, lots...)
	}
	return &Corpus{analyse: c.analyse, df: c.df, n: c.n, mean: c.mean, ranges: []*view{all}}
}

// Ranges returns the number of ranges.
func (c *Corpus) Ranges() int { return len(c.ranges) }

// Put writes a lot to a range, replacing one with its id. Replicas see it from their next refresh on.
func (c *Corpus) Put(r int, l Lot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.ranges[r]
	lots := slices.Clone(old.lots)
	if i := slices.IndexFunc(lots, func(o *Lot) bool { return o.ID == l.ID }); i >= 0 {
		l.version = lots[i].version
		lots = slices.Delete(lots, i, i+1)
	}
	c.learn(&l)
	c.ranges[r] = &view{old.version + 1, append(lots, &l)}
}

// Bid changes the price of a lot, and nothing else.
func (c *Corpus) Bid(r, n int, price float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.ranges[r]
	lots := slices.Clone(old.lots)
	l := *lots[n]
	l.Price = price
	l.version++
	lots[n] = &l
	c.ranges[r] = &view{old.version + 1, lots}
}

// Delete removes a lot from a range.
func (c *Corpus) Delete(r int, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.ranges[r]
	c.ranges[r] = &view{old.version + 1, slices.DeleteFunc(slices.Clone(old.lots), func(o *Lot) bool { return o.ID == id })}
}

// now is the current view of a range.
func (c *Corpus) now(r int) *view {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ranges[r]
}

// Replica is the process of one lot store: it sees each range as of its last refresh.
type Replica struct {
	corpus *Corpus
	boot   string
	every  time.Duration // between refreshes; 0 for at each search, without a guarantee

	mu    sync.Mutex
	views map[int]*view
	until time.Time // the views are stable
	// KeepViews is how many earlier views of a range a request may still ask for.
	KeepViews int
	earlier   map[int][]*view
}

// NewReplica starts a process with the id boot.
func (c *Corpus) NewReplica(boot string, every time.Duration) *Replica {
	return &Replica{corpus: c, boot: boot, every: every, views: map[int]*view{}, earlier: map[int][]*view{}}
}

// current is the replica's view of a range, and how long it is stable.
func (k *Replica) current(r int) (v *view, holds time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if !now.Before(k.until) {
		for r, v := range k.views {
			if k.earlier[r] = append(k.earlier[r], v); len(k.earlier[r]) > k.KeepViews {
				k.earlier[r] = k.earlier[r][len(k.earlier[r])-k.KeepViews:]
			}
		}
		clear(k.views)
		k.until = now.Add(k.every)
	}
	if v = k.views[r]; v == nil {
		v = k.corpus.now(r)
		if k.every > 0 {
			k.views[r] = v
		}
	}
	return v, k.until.Sub(now)
}

// earlierView is an earlier view of a range, nil if it is not kept.
func (k *Replica) earlierView(r int, version int64) *view {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, v := range k.earlier[r] {
		if v.version == version {
			return v
		}
	}
	return nil
}
