// Package opensearch speaks the part of the OpenSearch query API that the README states: as a front to
// clients, and to lot stores.
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

// Core is what the front needs of the gatherer's core.
type Core interface {
	Submit(*gather.Request)
	ClientGone(*gather.Request)
	Snapshot() gather.Snapshot
}

// Front accepts the API from clients.
type Front struct {
	Core     Core
	Settings *settings.Current
	Name     string // begins the names of this front's requests
	Plans    bool   // lot stores speak the API, so that searches are led by plans
	Ties     bool   // and break ties by id
	number   atomic.Uint64
	indices  atomic.Pointer[map[string]string]
	keys     atomic.Pointer[pages.Keys]
}

// SetKeys says which keys sign and verify points in time, from now on; without any there are none.
func (f *Front) SetKeys(k *pages.Keys) { f.keys.Store(k) }

// SetIndices says which class each index stands for, from now on: safe classes are searched, keyed ones
// created in.
func (f *Front) SetIndices(classes map[string]string) { f.indices.Store(&classes) }

// Bounds of what a client may ask for.
const (
	longest  = time.Minute
	sizeMost = 10000
	sizeUsed = 10 // hits where no size is given
)

// apiError is an error object with its status.
type apiError struct {
	status       int
	kind, reason string
}

func illegal(format string, args ...any) *apiError {
	return &apiError{400, "illegal_argument_exception", fmt.Sprintf(format, args...)}
}

// asked is what a client asks for beside the core's request.
type asked struct {
	q      *gather.Request
	index  string
	search bool
	size   int  // where no plan leads it
	ties   bool // hits end their sort values with a tie
	shards int  // of the index
	pin    *pages.Pin
	token  string    // of the pin
	wrong  *apiError // what is wrong with it, so that it never reaches the core
	// format makes the response of an answer, where it is neither a search's nor a create's.
	format func(gather.Result, time.Duration) *http1.Response
}

// parseTime reads a time value such as 500ms or 2s.
func parseTime(s string) (time.Duration, bool) {
	for _, u := range []struct {
		suffix string
		unit   time.Duration
	}{{"micros", time.Microsecond}, {"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute}} {
		if n, ok := strings.CutSuffix(s, u.suffix); ok {
			x, err := strconv.ParseUint(n, 10, 32)
			return time.Duration(min(float64(x)*float64(u.unit), float64(longest))), err == nil && x > 0
		}
	}
	return 0, false
}

// only refuses any parameter not named.
func only(params url.Values, names ...string) *apiError {
	for p, v := range params {
		if !slices.Contains(names, p) {
			return illegal("request contains unrecognized parameter: [%.60s]", p)
		}
		if len(v) > 1 {
			return illegal("parameter [%.60s] is given twice", p)
		}
	}
	return nil
}
