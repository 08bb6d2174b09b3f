package audit

import (
	"strings"
	"testing"

	"pulleygw.example/pulleygw/internal/gatherer/record"
)

func ms(n int64) int64 { return 1_790_000_000_000_000 + n*1000 }

func testLimits() *record.InForce {
	return &record.InForce{Attempts: 2, Timeout: 3_000_000, Window: 4_000_000, MaxConcurrency: 1, PerSecond: 2, Burst: 1, Ratio: 0.1, Free: 0.5, Span: 10_000_000}
}

func arrived(id uint64, at int64) record.Entry {
	return record.Entry{Kind: record.Arrived, At: ms(at), Request: id, Route: "r", Verdict: "admit", In: testLimits()}
}

func attempt(id uint64, number int, sent, end int64) record.Entry {
	return record.Entry{Kind: record.Attempt, At: ms(end), Request: id, Shard: 3, Number: number, Sent: ms(sent), Ran: true, Status: "error"}
}

func final(id uint64, at int64) record.Entry {
	return record.Entry{Kind: record.Final, At: ms(at), Request: id, Verdict: "answered"}
}

// Each seeded violation is reported with its entries, and records without one yield none.
func TestViolations(t *testing.T) {
	generous := arrived(1, 0)
	generous.In = &record.InForce{Attempts: 4, Timeout: 9_000_000, Window: 4_000_000}
	hedged := arrived(1, 0)
	hedged.In = &record.InForce{Attempts: 4, Timeout: 9_000_000, Hedging: true}
	for name, c := range map[string]struct {
		entries []record.Entry
		want    string
	}{
		"none":                  {[]record.Entry{arrived(1, 0), attempt(1, 0, 5, 100), final(1, 110), arrived(2, 600), attempt(2, 0, 605, 700), final(2, 710)}, ""},
		"too many attempts":     {[]record.Entry{generous, attempt(1, 0, 5, 100), attempt(1, 1, 105, 200), attempt(1, 2, 205, 300), attempt(1, 3, 305, 400), attempt(1, 4, 405, 500), final(1, 510)}, "5 attempts over its steps, 4 allowed"},
		"overlap":               {[]record.Entry{generous, attempt(1, 0, 5, 100), attempt(1, 1, 90, 200), final(1, 210)}, "attempt 1 left before attempt 0 had ended"},
		"one hedge":             {[]record.Entry{hedged, attempt(1, 0, 5, 300), attempt(1, 1, 90, 200), attempt(1, 2, 205, 400), final(1, 410)}, ""},
		"two hedges":            {[]record.Entry{hedged, attempt(1, 0, 5, 300), attempt(1, 1, 90, 200), attempt(1, 2, 195, 400), final(1, 410)}, "attempt 2 left before attempt 0 had ended"},
		"after window":          {[]record.Entry{generous, attempt(1, 0, 5, 100), attempt(1, 1, 4006, 4100), final(1, 4110)}, "its window is 4s"},
		"after timeout":         {[]record.Entry{arrived(1, 0), final(1, 3100)}, "3s allowed"},
		"repeated final answer": {[]record.Entry{arrived(1, 0), final(1, 10), final(1, 20)}, "two final answers"},
		"concurrency":           {[]record.Entry{arrived(1, 0), arrived(2, 600), final(1, 700), final(2, 700)}, "2 requests in hand, 1 allowed"},
		"rate":                  {[]record.Entry{arrived(1, 0), final(1, 10), arrived(2, 100), final(2, 110)}, "too soon for 2 a second"},
		"budget":                {[]record.Entry{arrived(1, 0), attempt(1, 0, 5, 100), attempt(1, 1, 105, 200), final(1, 210), arrived(2, 600), attempt(2, 0, 605, 700), attempt(2, 1, 705, 800), final(2, 810)}, "2 further attempts within 10s"},
		"not sent":              {[]record.Entry{generous, attempt(1, 0, 5, 100), {Kind: record.Attempt, At: ms(101), Request: 1, Shard: 3, Number: 1, Status: "not sent"}, final(1, 110)}, ""},
		"restart":               {[]record.Entry{arrived(1, 0), {Kind: record.Started}, arrived(1, 100), final(1, 110)}, ""},
		"dropped entries":       {[]record.Entry{{Kind: record.Dropped, Count: 3}, arrived(1, 0), arrived(2, 600)}, ""},
	} {
		a := New()
		for _, e := range c.entries {
			a.Add(e)
		}
		r := a.Report()
		if c.want == "" && len(r.Violations) > 0 || c.want != "" && (len(r.Violations) != 1 || !strings.Contains(r.Violations[0].String(), c.want) || len(r.Violations[0].Entries) == 0) {
			t.Errorf("%s: %v, want %q", name, r.Violations, c.want)
		}
	}
}
