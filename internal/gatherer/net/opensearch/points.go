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

func (f *Front) openToken(token string, now time.Time) (*pages.Pin, *apiError) {
	keys := f.keys.Load()
	if keys == nil || !f.Plans {
		return nil, illegal("points in time are not supported here")
	}
	pin, err := keys.Open(token, "", now)
	switch {
	case errors.Is(err, pages.ErrExpired) || errors.Is(err, pages.ErrKey):
		return nil, &apiError{404, "search_context_missing_exception", err.Error()}
	case err != nil:
		return nil, illegal("[pit] %v", err)
	case pin.Ranges != f.Settings.Load().Shards:
		return nil, &apiError{404, "search_context_missing_exception", "the index has another number of ranges by now"}
	}
	return pin, nil
}

// keepAlive reads how long a point in time lives.
func keepAlive(s string) (time.Duration, *apiError) {
	if s == "" {
		return keepDefault, nil
	}
	if n, ok := strings.CutSuffix(s, "h"); ok {
		hours, err := strconv.Atoi(n)
		if err != nil || hours < 1 || hours > int(keepMost/time.Hour) {
			return 0, illegal("[keep_alive] is not a time of at most %v: [%.40s]", keepMost, s)
		}
		return time.Duration(hours) * time.Hour, nil
	}
	if n, ok := strings.CutSuffix(s, "m"); ok { // past the longest time-out
		if minutes, err := strconv.Atoi(n); err == nil && minutes > 0 && time.Duration(minutes)*time.Minute <= keepMost {
			return time.Duration(minutes) * time.Minute, nil
		}
	}
	d, ok := parseTime(s)
	if !ok {
		return 0, illegal("[keep_alive] is not a time of at most %v: [%.40s]", keepMost, s)
	}
	return d, nil
}

// openPoint asks every range where it stands, and pins those that answer.
func (f *Front) openPoint(r *http1.Request, index string, params url.Values) (*job, *apiError) {
	if e := only(params, "keep_alive", "allow_partial_pit_creation", "timeout"); e != nil {
		return nil, e
	}
	if f.keys.Load() == nil || !f.Plans {
		return nil, illegal("points in time are not supported here")
	}
	keep, e := keepAlive(params.Get("keep_alive"))
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
	a.q.Search.Every = true
	a.q.CompleteOnly = params.Get("allow_partial_pit_creation") == "false"
	created := r.At
	a.format = func(res gather.Result, _ time.Duration) *http1.Response {
		pin := &pages.Pin{Index: index, Ends: created.Add(keep), Ranges: a.shards, Versions: map[int]int64{}}
		for number, v := range res.Search.Views {
			if v.Boot == "" {
				return errorResponse(illegal("lot stores do not tell the versions that a point in time pins"), nil)
			}
			pin.Versions[number] = v.Version
		}
		counts, _ := a.counts(res)
		return jsonResponse(200, map[string]any{"pit_id": f.keys.Load().Seal(pin), "_shards": counts, "creation_time": created.UnixMilli()})
	}
	return &job{asked: []*asked{a}}, nil
}

// closePoints takes tokens back. Nothing is held for them here, so that a good one is good until its end.
func (f *Front) closePoints(r *http1.Request) (*job, *apiError) {
	if wrong := query.Check(string(r.Body)); wrong != nil {
		return nil, placed(wrong)
	}
	ids := gjson.GetBytes(r.Body, "pit_id")
	if !ids.IsArray() && ids.Type != gjson.String || len(ids.Array()) > itemsMost {
		return nil, illegal("[pit_id] is not a list of at most %d tokens", itemsMost)
	}
	pits := []map[string]any{}
	for _, id := range ids.Array() {
		_, e := f.openToken(id.String(), r.At)
		pits = append(pits, map[string]any{"successful": e == nil, "pit_id": id.String()})
	}
	return at(jsonResponse(200, map[string]any{"pits": pits})), nil
}
