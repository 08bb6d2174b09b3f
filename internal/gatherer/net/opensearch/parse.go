package opensearch

import (
	"net/url"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/query"
)

func (f *Front) parseSearch(a *asked, now time.Time, params url.Values, body []byte) *apiError {
	names := []string{"timeout", "allow_partial_search_results", "preference", "routing", "size"}
	if f.Plans {
		names = append(names, "from", "sort", "track_total_hits", "q", "df", "default_operator", "terminate_after")
	}
	if e := only(params, names...); e != nil {
		return e
	}
	switch v := params.Get("allow_partial_search_results"); v {
	case "", "true":
	case "false":
		a.q.CompleteOnly = true
	default:
		return illegal("failed to parse value [%.40s] as only [true] or [false] are allowed", v)
	}
	if len(body) == 0 {
		body = []byte("{}")
	}
	var e *apiError
	if f.Plans {
		var w *wanted
		if w, e = parseBody(string(body), params, f.Ties); e != nil {
			return e
		}
		a.q.Search, a.q.Text = w.Query, w.text()
		if w.timeout > 0 && !params.Has("timeout") { // the nearest to the search counts
			a.q.Deadline = now.Add(w.timeout)
		}
		if e := f.pinned(a, w, now); e != nil {
			return e
		}
	} else if a.size, e = parseOpaque(body, params); e != nil {
		return e
	} else {
		a.q.Text = slices.Clone(body)
	}
	var shards []int
	shards, e = f.shards(params)
	for _, s := range shards {
		if a.pin != nil {
			if _, in := a.pin.Versions[s]; !in {
				continue // it stays out, and its weight with it
			}
		}
		a.q.Shards = append(a.q.Shards, gather.Shard{Number: s, Weight: 1 / float64(len(shards))})
	}
	if e == nil && len(a.q.Shards) == 0 {
		e = &apiError{404, "search_context_missing_exception", "the point in time has no range"}
	}
	return e
}

// pinned ties a search to its point in time.
func (f *Front) pinned(a *asked, w *wanted, now time.Time) *apiError {
	switch {
	case w.pit == "" && a.pin == nil:
		return nil
	case a.pin == nil:
		return illegal("[pit] cannot be given with an index")
	case !f.Ties:
		return illegal("points in time want lot stores that break ties by id")
	}
	a.q.Search.Pins, a.q.Search.Absent, a.ties = a.pin.Versions, a.pin.Absent(), true
	if w.keep != "" { // a longer life is another token
		keep, e := keepAlive(w.keep)
		if e != nil {
			return e
		}
		if ends := now.Add(keep); ends.After(a.pin.Ends) {
			longer := *a.pin
			longer.Ends = ends
			a.token = f.keys.Load().Seal(&longer)
		}
	}
	return nil
}

// parseOpaque reads of a search whose lot stores speak frames what matters here, its size; they get the text as it is.
func parseOpaque(body []byte, params url.Values) (size int, e *apiError) {
	if wrong := query.Check(string(body)); wrong != nil {
		return 0, placed(wrong)
	}
	size = sizeUsed
	gjson.ParseBytes(body).ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "query", "_source":
		case "size":
			e = whole(&size, "size", v, sizeMost)
		default:
			e = parsing("not supported here: [%.60s] in the search body", k.Str)
		}
		return e == nil
	})
	if v := params.Get("size"); e == nil && v != "" {
		if !gjson.Valid(v) {
			return 0, illegal("[size] is not a number")
		}
		e = whole(&size, "size", gjson.Parse(v), sizeMost)
	}
	return size, e
}
