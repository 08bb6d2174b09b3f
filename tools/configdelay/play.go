package main

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Lines of the tier's log, as the bench prints them: simulated time in seconds, the machine with the role where it has two,
// the time of day, the level and the message.
var (
	logLine        = regexp.MustCompile(`^\s*(-?\d+\.\d+) (\S+) \S+ \[\w+\]\s+\S+: (.*)$`)
	generationWord = regexp.MustCompile(`generation=(\d+)`)
)

// maxLineBytes bounds a line of a play.
const maxLineBytes = 1 << 20

// applied is a configuration that a proxy has applied.
type applied struct {
	at         float64
	generation uint64
}

// play is what one output says of configurations. Times are simulated seconds since the start of the traffic.
type play struct {
	committed map[uint64]float64   // generation: first time that a coordinator logged it
	applied   map[string][]applied // by proxy
	started   map[string][]float64 // by proxy
}

// delay is how long a proxy took to apply a configuration.
type delay struct {
	seconds    float64
	generation uint64
	proxy      string
}

func readPlay(text io.Reader) (*play, error) {
	p := &play{committed: make(map[uint64]float64), applied: make(map[string][]applied), started: make(map[string][]float64)}
	lines := bufio.NewScanner(text)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		parts := logLine.FindStringSubmatch(lines.Text())
		if parts == nil {
			continue
		}
		at, err := strconv.ParseFloat(parts[1], 64)
		if err != nil {
			return nil, err
		}
		p.add(at, parts[2], parts[3])
	}
	return p, lines.Err()
}

func (p *play) add(at float64, process, message string) {
	switch {
	case strings.HasPrefix(message, "configuration committed"):
		generation := generationOf(message)
		if first, known := p.committed[generation]; !known || at < first {
			p.committed[generation] = at
		}
	case strings.HasPrefix(message, "configuration applied"):
		p.applied[process] = append(p.applied[process], applied{at: at, generation: generationOf(message)})
	case strings.HasPrefix(message, "started: "):
		p.started[process] = append(p.started[process], at)
	}
}

func generationOf(message string) uint64 {
	word := generationWord.FindStringSubmatch(message)
	if word == nil {
		return 0
	}
	generation, _ := strconv.ParseUint(word[1], 10, 64) // digits alone; out of range is the highest number
	return generation
}

// delays returns the delays of all configurations that were committed during the traffic. A proxy may apply a configuration
// before its commit is logged: the coordinator replies to watchers first.
func (p *play) delays() []delay {
	var all []delay
	for generation, committedAt := range p.committed {
		if committedAt < 0 {
			continue
		}
		for proxy, list := range p.applied {
			at, ok := firstApplied(list, generation)
			if !ok || startedBetween(p.started[proxy], committedAt, at) {
				continue
			}
			all = append(all, delay{seconds: max(at-committedAt, 0), generation: generation, proxy: proxy})
		}
	}
	return all
}

// firstApplied returns when a proxy first applied a configuration of this generation or a later one.
func firstApplied(list []applied, generation uint64) (at float64, ok bool) {
	for _, one := range list {
		if one.generation >= generation {
			return one.at, true
		}
	}
	return 0, false
}

func startedBetween(starts []float64, from, to float64) bool {
	for _, at := range starts {
		if at >= from && at <= to {
			return true
		}
	}
	return false
}
