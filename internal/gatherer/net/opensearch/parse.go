package opensearch

import (
	"net/url"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/query"
)

// parseSearch parses the parameters and the body of a search into its request.
func (f *Front) parseSearch(a *clientRequest, now time.Time, params url.Values, body []byte) *apiError {
	names := []string{"timeout", "allow_partial_search_results", "preference", "routing", "size"}
	if f.Plans {
		names = append(names, "from", "sort", "track_total_hits", "q", "df", "default_operator", "terminate_after")
	}
	if e := allowOnly(params, names...); e != nil {
		return e
	}
	switch v := params.Get("allow_partial_search_results"); v {
	case "", "true":
	case "false":
		a.core.CompleteOnly = true
	default:
		return illegalArgument("failed to parse value [%.40s] as only [true] or [false] are allowed", v)
	}
	if len(body) == 0 {
		body = []byte("{}")
	}
	var e *apiError
	if f.Plans {
		var w *searchBody
		if w, e = parseBody(string(body), params, f.Ties); e != nil {
			return e
		}
		a.core.Search, a.core.Text = w.Query, w.coreText()
		if w.timeout > 0 && !params.Has("timeout") { // the parameter takes precedence
			a.core.Deadline = now.Add(w.timeout)
		}
		if e := f.applyPin(a, w, now); e != nil {
			return e
		}
	} else if a.size, e = parseOpaque(body, params); e != nil {
		return e
	} else {
		a.core.Text = slices.Clone(body)
	}
	var shards []int
	shards, e = f.shards(params)
	for _, s := range shards {
		if a.pin != nil {
			if _, in := a.pin.Versions[s]; !in {
				continue // it is left out, and its weight with it
			}
		}
		a.core.Shards = append(a.core.Shards, gather.Shard{Number: s, Weight: 1 / float64(len(shards))})
	}
	if e == nil && len(a.core.Shards) == 0 {
		e = &apiError{404, "search_context_missing_exception", "the point in time has no range"}
	}
	return e
}

// applyPin applies the point in time of a search.
func (f *Front) applyPin(a *clientRequest, w *searchBody, now time.Time) *apiError {
	switch {
	case w.pit == "" && a.pin == nil:
		return nil
	case a.pin == nil:
		return illegalArgument("[pit] cannot be given with an index")
	case !f.Ties:
		return illegalArgument("points in time want lot stores that break ties by id")
	}
	a.core.Search.Pins, a.core.Search.Absent, a.ties = a.pin.Versions, a.pin.Absent(), true
	if w.keepAlive != "" { // a longer lifetime needs a new token
		keep, e := parseKeepAlive(w.keepAlive)
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

// parseOpaque parses the size of a search whose lot stores speak frames. They get the text unchanged.
func parseOpaque(body []byte, params url.Values) (size int, e *apiError) {
	if wrong := query.CheckObject(string(body)); wrong != nil {
		return 0, parseError(wrong)
	}
	size = defaultSize
	gjson.ParseBytes(body).ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "query", "_source":
		case "size":
			e = parseInt(&size, "size", v, maxSize)
		default:
			e = parsingException("not supported here: [%.60s] in the search body", k.Str)
		}
		return e == nil
	})
	if v := params.Get("size"); e == nil && v != "" {
		if !gjson.Valid(v) {
			return 0, illegalArgument("[size] is not a number")
		}
		e = parseInt(&size, "size", gjson.Parse(v), maxSize)
	}
	return size, e
}
