package opensearch

import (
	"errors"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/pages"
	"pulleygw.example/pulleygw/internal/gatherer/query"
)

// openToken verifies the token of a point in time.
func (f *Front) openToken(token string, now time.Time) (*pages.Pin, *apiError) {
	keys := f.keys.Load()
	if keys == nil || !f.Plans {
		return nil, illegalArgument("points in time are not supported here")
	}
	pin, err := keys.Open(token, "", now)
	switch {
	case errors.Is(err, pages.ErrExpired) || errors.Is(err, pages.ErrUnknownKey):
		return nil, &apiError{404, "search_context_missing_exception", err.Error()}
	case err != nil:
		return nil, illegalArgument("[pit] %v", err)
	case pin.Ranges != f.Settings.Load().Shards:
		return nil, &apiError{404, "search_context_missing_exception", "the index has another number of ranges by now"}
	}
	return pin, nil
}

// parseKeepAlive parses the lifetime of a point in time.
func parseKeepAlive(s string) (time.Duration, *apiError) {
	if s == "" {
		return defaultKeepAlive, nil
	}
	if n, ok := strings.CutSuffix(s, "h"); ok {
		hours, err := strconv.Atoi(n)
		if err != nil || hours < 1 || hours > int(maxKeepAlive/time.Hour) {
			return 0, illegalArgument("[keep_alive] is not a time of at most %v: [%.40s]", maxKeepAlive, s)
		}
		return time.Duration(hours) * time.Hour, nil
	}
	if n, ok := strings.CutSuffix(s, "m"); ok { // beyond maxTimeout
		if minutes, err := strconv.Atoi(n); err == nil && minutes > 0 && time.Duration(minutes)*time.Minute <= maxKeepAlive {
			return time.Duration(minutes) * time.Minute, nil
		}
	}
	d, ok := parseTime(s)
	if !ok {
		return 0, illegalArgument("[keep_alive] is not a time of at most %v: [%.40s]", maxKeepAlive, s)
	}
	return d, nil
}

// openPoint parses the opening of a point in time: every range is asked for its version, and those that answer are pinned.
func (f *Front) openPoint(r *http1.Request, index string, params url.Values) (*clientCall, *apiError) {
	if e := allowOnly(params, "keep_alive", "allow_partial_pit_creation", "timeout"); e != nil {
		return nil, e
	}
	if f.keys.Load() == nil || !f.Plans {
		return nil, illegalArgument("points in time are not supported here")
	}
	keep, e := parseKeepAlive(params.Get("keep_alive"))
	if e != nil {
		return nil, e
	}
	a, e := f.request(r, index, false, params.Get("timeout"))
	if e != nil {
		return nil, e
	}
	if e := f.parseSearch(a, r.At, nil, []byte(`{"size":0,"track_total_hits":false}`)); e != nil {
		return nil, e
	}
	a.core.Search.SkipEmptyOnly = true
	a.core.CompleteOnly = params.Get("allow_partial_pit_creation") == "false"
	created := r.At
	a.format = func(res gather.Result, _ time.Duration) *http1.Response {
		pin := &pages.Pin{Index: index, Ends: created.Add(keep), Ranges: a.shards, Versions: map[int]int64{}}
		for number, v := range res.Search.Views {
			if v.Boot == "" {
				return errorResponse(illegalArgument("lot stores do not tell the versions that a point in time pins"), nil)
			}
			pin.Versions[number] = v.Version
		}
		counts, _ := a.counts(res)
		return jsonResponse(200, map[string]any{"pit_id": f.keys.Load().Seal(pin), "_shards": counts, "creation_time": created.UnixMilli()})
	}
	return &clientCall{requests: []*clientRequest{a}}, nil
}

// closePoints parses the closing of points in time. They hold no resources, so a valid token stays valid until it expires.
func (f *Front) closePoints(r *http1.Request) (*clientCall, *apiError) {
	if wrong := query.CheckObject(string(r.Body)); wrong != nil {
		return nil, parseError(wrong)
	}
	ids := gjson.GetBytes(r.Body, "pit_id")
	if !ids.IsArray() && ids.Type != gjson.String || len(ids.Array()) > maxItems {
		return nil, illegalArgument("[pit_id] is not a list of at most %d tokens", maxItems)
	}
	pits := []map[string]any{}
	for _, id := range ids.Array() {
		_, e := f.openToken(id.String(), r.At)
		pits = append(pits, map[string]any{"successful": e == nil, "pit_id": id.String()})
	}
	return immediate(jsonResponse(200, map[string]any{"pits": pits})), nil
}
