package testbed

import (
	"fmt"
	"log/slog"
	"net"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
)

// OpenSearch is a lot store that speaks the OpenSearch-style API. It serves until the listener is closed. ShardOf returns the
// shard of a routing value.
func OpenSearch(l net.Listener, s *Script, shardOf func(string) int) {
	h := func(r *http1.Request, gone <-chan struct{}) *http1.Response {
		lines := strings.Split(strings.TrimSuffix(string(r.Body), "\n"), "\n")
		var items []string
		for i := 0; i+1 < len(lines); i += 2 {
			var shard int
			head := gjson.Parse(lines[i])
			if r.Path == "/_bulk" {
				shard = shardOf(head.Get("create.routing").String())
			} else {
				shard, _ = strconv.Atoi(strings.TrimPrefix(head.Get("preference").String(), "_shards:"))
			}
			end := s.Next(shard, lines[i+1])
			switch end {
			case Reset:
				return nil
			case NoAnswer:
				<-gone
				return nil
			}
			if r.Path == "/_bulk" {
				items = append(items, created(end, head.Get("create._id").String()))
			} else {
				items = append(items, found(end, shard))
			}
		}
		switch r.Path {
		case "/_msearch":
			return JSON(200, `{"took":1,"responses":[`+strings.Join(items, ",")+`]}`)
		case "/_bulk":
			return JSON(200, `{"took":1,"errors":false,"items":[`+strings.Join(items, ",")+`]}`)
		}
		return JSON(200, `{}`)
	}
	serve(l, h)
}

// serve serves HTTP until the listener is closed.
func serve(l net.Listener, h http1.Handler) {
	http1.New(l.(*net.TCPListener), h, 100, slog.New(slog.DiscardHandler)).Serve()
}

// found is the answer to a search.
func found(e End, shard int) string {
	switch e {
	case Overload:
		return `{"error":{"type":"rejected_execution_exception"},"status":429}`
	case Fault:
		return `{"error":{"type":"query_phase_execution_exception"},"status":500}`
	}
	return fmt.Sprintf(`{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},`+
		`"hits":{"total":{"value":1,"relation":"eq"},"max_score":1.0,"hits":[{"_index":"lots","_id":"%d","_score":1.0,"_source":{"item":%q}}]},"status":200}`,
		shard, Value(shard))
}

// created is the answer to a create.
func created(e End, id string) string {
	switch e {
	case Overload:
		return `{"create":{"error":{"type":"rejected_execution_exception"},"status":429}}`
	case Fault:
		return `{"create":{"error":{"type":"unavailable_shards_exception"},"status":500}}`
	}
	return fmt.Sprintf(`{"create":{"_index":"bids","_id":%q,"_version":1,"result":"created","_seq_no":7,"_primary_term":1,"status":201}}`, id)
}

// JSON makes a response.
func JSON(status int, body string) *http1.Response {
	return &http1.Response{Status: status, Header: textproto.MIMEHeader{"Content-Type": {"application/json"}}, Body: []byte(body)}
}

// Discovery is an agent that serves one list, until the listener is closed. A watch is answered with no change at its time-out.
func Discovery(l net.Listener, list string) {
	seq := gjson.Get(list, "seq").String()
	h := func(r *http1.Request, gone <-chan struct{}) *http1.Response {
		params, _ := url.ParseQuery(r.Query)
		if ms, err := strconv.Atoi(params.Get("timeout_ms")); err == nil && params.Get("since") == seq {
			timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
			defer timer.Stop()
			select {
			case <-gone:
				return nil
			case <-timer.C:
				return JSON(200, `{"seq":`+seq+`,"whole":false,"hosts":[]}`)
			}
		}
		return JSON(200, list)
	}
	serve(l, h)
}
