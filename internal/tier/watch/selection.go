package watch

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Limits of the selection of sources.
const (
	minSourceBackoff    = 2 * time.Second // after the first failure; doubles with each further one
	maxSourceBackoff    = 15 * time.Second
	maxSourceDoublings  = 4
	maxRankedFailures   = 100             // further failures do not lower a source's rank
	maxReselectInterval = 8 * time.Second // between two checks of a worker for a better source
)

// claimSource marks the best source without a worker as watched and returns its address, empty if there is none. If there
// are more workers than sources to watch, needed is false and the calling worker must end.
func (w *Watcher) claimSource() (address string, needed bool) {
	endpoints := w.options.Endpoints()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.workers > w.wantedWorkers(endpoints) {
		w.workers--
		return "", false
	}
	w.pruneSources(endpoints)
	best := w.bestSource(endpoints)
	if best == "" {
		return "", true
	}
	w.sources[best].watched = true
	return best, true
}

// bestSource returns the best source without a worker, empty if there is none. Sources that are not in backoff come first,
// then those of a zone in which no source is watched, then those that Endpoints prefers.
func (w *Watcher) bestSource(endpoints []Endpoint) string {
	zones := w.watchedZones(endpoints)
	now := time.Now()
	best, bestRank := "", 0
	for i, endpoint := range endpoints {
		s := w.sources[endpoint.Address]
		if s == nil {
			s = &sourceState{}
			w.sources[endpoint.Address] = s
		}
		if s.watched {
			continue
		}
		rank := i
		if zones[endpoint.Zone] && endpoint.Zone != "" {
			rank += len(endpoints)
		}
		if now.Before(s.backoffUntil) {
			rank += len(endpoints) * (1 + min(s.failures, maxRankedFailures)) * 2
		}
		if best == "" || rank < bestRank {
			best, bestRank = endpoint.Address, rank
		}
	}
	return best
}

func (w *Watcher) watchedZones(endpoints []Endpoint) map[string]bool {
	zones := make(map[string]bool)
	for _, endpoint := range endpoints {
		if s := w.sources[endpoint.Address]; s != nil && s.watched {
			zones[endpoint.Zone] = true
		}
	}
	return zones
}

// pruneSources removes the state of sources that are neither endpoints nor watched, once there are many.
func (w *Watcher) pruneSources(endpoints []Endpoint) {
	if len(w.sources) <= 2*len(endpoints)+8 {
		return
	}
	current := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		current[endpoint.Address] = true
	}
	for address, s := range w.sources {
		if !current[address] && !s.watched {
			delete(w.sources, address)
		}
	}
}

// shouldSwitch reports whether a source is no longer an endpoint or there is a better one without a worker. It looks for a
// better one only from reselectAt on, and then sets the time of the next check.
func (w *Watcher) shouldSwitch(address string, endpoints []Endpoint, reselectAt *time.Time) bool {
	if !slices.ContainsFunc(endpoints, func(endpoint Endpoint) bool { return endpoint.Address == address }) {
		return true
	}
	if time.Now().Before(*reselectAt) {
		return false
	}
	*reselectAt = nextReselect()
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.sources[address]
	current.watched = false
	best := w.bestSource(endpoints)
	current.watched = true
	return best != address
}

func nextReselect() time.Time {
	return time.Now().Add(maxReselectInterval/2 + rand.N(maxReselectInterval/2))
}

// sourceBackoff returns how long a source is avoided after a number of consecutive failures.
func sourceBackoff(failures int) time.Duration {
	return min(minSourceBackoff<<min(failures-1, maxSourceDoublings), maxSourceBackoff)
}
