// Package opensearch implements the part of the OpenSearch query API that docs/api.md lists: Front serves it to clients, and
// Stores is the transport to lot stores that speak it.
package opensearch

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/pages"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
)

// Core is the part of gather.Core that the front uses.
type Core interface {
	Submit(*gather.Request)
	ClientDisconnected(*gather.Request)
	Snapshot() gather.Snapshot
}

// Front serves the API to clients.
type Front struct {
	Core       Core
	Settings   *settings.Current
	Name       string // prefix of the names of this front's requests
	Plans      bool   // lot stores speak the API, so searches are led by plans
	Ties       bool   // and break ties by id
	lastNumber atomic.Uint64
	indices    atomic.Pointer[map[string]string]
	keys       atomic.Pointer[pages.Keys]
}

// SetKeys sets the keys that sign and verify points in time. Without keys there are no points in time.
func (f *Front) SetKeys(k *pages.Keys) { f.keys.Store(k) }

// SetIndices sets the class of each index: idempotent classes are searched, others take creates.
func (f *Front) SetIndices(classes map[string]string) { f.indices.Store(&classes) }

// Bounds of what a client may ask for, and defaults.
const (
	maxTimeout  = time.Minute
	maxSize     = 10000
	defaultSize = 10 // hits where no size is given
)

// apiError is an error object of the API with its status.
type apiError struct {
	status       int
	kind, reason string
}

// illegalArgument is the error of an invalid argument.
func illegalArgument(format string, args ...any) *apiError {
	return &apiError{400, "illegal_argument_exception", fmt.Sprintf(format, args...)}
}

// clientRequest is one request of a client.
type clientRequest struct {
	core   *gather.Request
	index  string
	search bool
	size   int  // of the page, where no plan leads the search
	ties   bool // hits end their sort values with a tie
	shards int  // of the index
	pin    *pages.Pin
	token  string    // of the pin, to be returned
	err    *apiError // why it is invalid, so that it does not reach the core
	// format makes the response of an answer, where it is neither that of a search nor of a create.
	format func(gather.Result, time.Duration) *http1.Response
}

// parseTime parses a time value such as 500ms or 2s.
func parseTime(s string) (time.Duration, bool) {
	for _, u := range []struct {
		suffix string
		unit   time.Duration
	}{{"micros", time.Microsecond}, {"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute}} {
		if n, ok := strings.CutSuffix(s, u.suffix); ok {
			x, err := strconv.ParseUint(n, 10, 32)
			return time.Duration(min(float64(x)*float64(u.unit), float64(maxTimeout))), err == nil && x > 0
		}
	}
	return 0, false
}

// allowOnly returns an error for any parameter that is not named.
func allowOnly(params url.Values, names ...string) *apiError {
	for p, v := range params {
		if !slices.Contains(names, p) {
			return illegalArgument("request contains unrecognized parameter: [%.60s]", p)
		}
		if len(v) > 1 {
			return illegalArgument("parameter [%.60s] is given twice", p)
		}
	}
	return nil
}
