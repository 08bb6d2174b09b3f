package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"pulleygw.example/pulleygw/internal/gatherer/net/admin"
	"pulleygw.example/pulleygw/internal/gatherer/record"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
)

func run(t *testing.T, args ...string) (code int, out, errOut string, served *Files) {
	t.Helper()
	var o, e bytes.Buffer
	code = Run(args, &o, &e, func(f Files) error { served = &f; return nil })
	return code, o.String(), e.String(), served
}

const platform = "../../../examples/config.json"

// No command means serving, with the flags by one dash or two; an error at the start is code 1.
func TestServe(t *testing.T) {
	for _, args := range [][]string{{}, {"serve"}, {"-config", "c", "-file=l", "-opensearch", "o"}, {"--config", "c", "--file", "l", "--opensearch=o"},
		{"serve", "-config=c", "--file", "l", "-opensearch", "o"}} {
		code, _, errOut, served := run(t, args...)
		if code != 0 || served == nil || len(args) > 1 && (served.Config != "c" || served.Limits != "l" || served.OpenSearch != "o") || served.Operations != "deploy/operations.json" {
			t.Errorf("%v: code %d, %+v %s", args, code, served, errOut)
		}
	}
	var e bytes.Buffer
	if code := Run(nil, &e, &e, func(Files) error { return errors.New("listen: in use") }); code != ExitFault || !strings.Contains(e.String(), "listen: in use") {
		t.Errorf("code %d: %s", code, e.String())
	}
	for _, args := range [][]string{{"-nonsense"}, {"nonsense"}, {"serve", "nonsense"}} {
		if code, _, errOut, served := run(t, args...); code != ExitUsage || served != nil || errOut == "" {
			t.Errorf("%v: code %d, %s", args, code, errOut)
		}
	}
}

// Errors are printed one per line with code 1, as JSON too; a valid file is said to be.
func TestCheck(t *testing.T) {
	if code, out, _, _ := run(t, "check", "../../../examples/pulleygw.yaml", "--config", platform); code != 0 || !strings.Contains(out, "good, 3 routes") {
		t.Errorf("code %d: %s", code, out)
	}
	bad := t.TempDir() + "/limits.yaml"
	if err := os.WriteFile(bad, []byte("version: 1\nlimits:\n  routes:\n    - atempts: 5\n      rate: {per_second: 0}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	code, _, errOut, _ := run(t, "check", bad, "--config", platform)
	if code != ExitFault || strings.Count(errOut, "\n") != 2 || !strings.Contains(errOut, ":4:7: limits.routes[0].atempts: is not known here; perhaps attempts") {
		t.Errorf("code %d: %s", code, errOut)
	}
	code, out, _, _ := run(t, "check", bad, "--config", platform, "--json")
	var got struct {
		Good   bool
		Faults []struct{ Line int }
	}
	if err := json.Unmarshal([]byte(out), &got); err != nil || code != ExitFault || got.Good || len(got.Faults) != 2 || got.Faults[1].Line != 5 {
		t.Errorf("code %d: %s %v", code, out, err)
	}
	for want, args := range map[int][]string{ExitFault: {"check", "nothing", "--config", platform}, ExitUsage: {"check", bad, "--config", ""}} {
		if code, _, errOut, _ := run(t, args...); code != want || errOut == "" {
			t.Errorf("%v: code %d, want %d: %s", args, code, want, errOut)
		}
	}
}

// The route, class and limits of a request are printed, each with the line that it comes from.
func TestExplain(t *testing.T) {
	args := []string{"explain", "--config", platform, "--file", "../../../examples/pulleygw.yaml", "--front", "opensearch", "--index", "lots"}
	code, out, errOut, _ := run(t, append(args, "--client", "10.1.2.3")...)
	for _, want := range []string{"route: floor terminals", "pulleygw.yaml:15", "wanted             900ms        ../../../examples/pulleygw.yaml:10", "rate.per_second    500          ../../../examples/pulleygw.yaml:19",
		"attempts           4            ../../../examples/config.json (class lot-search)"} {
		if code != 0 || !strings.Contains(out, want) {
			t.Errorf("code %d, want %q in\n%s%s", code, want, out, errOut)
		}
	}
	if _, out, _, _ := run(t, append(args, "--index", "bids")...); !strings.Contains(out, "route: none") {
		t.Error(out)
	}
	text, err := os.ReadFile(platform)
	if err != nil {
		t.Fatal(err)
	}
	other := t.TempDir() + "/config.json" // a deployment whose classes have other names
	if err := os.WriteFile(other, []byte(strings.ReplaceAll(string(text), "lot-search", "seat-search")), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out, errOut, _ := run(t, "explain", "--config", other, "--file", ""); code != 0 || !strings.Contains(out, "class seat-search") {
		t.Errorf("code %d: %s%s", code, out, errOut)
	}
	if code, _, errOut, _ := run(t, append(args, "--client", "here")...); code != ExitUsage {
		t.Errorf("code %d: %s", code, errOut)
	}
}

// A record is printed as filtered, and audited.
func TestLogAndAudit(t *testing.T) {
	dir := t.TempDir()
	w, err := record.Open(record.Config{Dir: dir, FileSize: 1 << 20, Files: 2, Ring: 100})
	if err != nil {
		t.Fatal(err)
	}
	in := &record.InForce{Attempts: 1}
	for n := range uint64(3) {
		w.Record(record.Entry{Kind: record.Arrived, At: int64(n), Request: n + 1, Route: "r", Verdict: "admit", In: in})
		w.Record(record.Entry{Kind: record.Attempt, At: int64(n) + 10, Request: n + 1, Sent: int64(n) + 5, Store: 4, Status: "ok"})
		w.Record(record.Entry{Kind: record.Final, At: int64(n) + 11, Request: n + 1, Verdict: "answered"})
	}
	w.Close()
	if code, out, _, _ := run(t, "log", dir, "--request", "2"); code != 0 || strings.Count(out, "\n") != 3 || !strings.Contains(out, `"kind":"arrived"`) {
		t.Errorf("code %d: %s", code, out)
	}
	if code, out, _, _ := run(t, "log", dir, "--store", "4", "--kind", "attempt"); code != 0 || strings.Count(out, "\n") != 3 {
		t.Errorf("code %d: %s", code, out)
	}
	if code, out, _, _ := run(t, "audit", dir); code != 0 || !strings.Contains(out, "3 requests: 3 answered") || !strings.Contains(out, "every limit held") {
		t.Errorf("code %d: %s", code, out)
	}
	if w, err = record.Open(record.Config{Dir: dir, FileSize: 1 << 20, Files: 2, Ring: 100}); err != nil {
		t.Fatal(err)
	}
	w.Record(record.Entry{Kind: record.Arrived, At: 1, Request: 1, Route: "r", Verdict: "admit", In: in})
	for n := range 2 {
		w.Record(record.Entry{Kind: record.Attempt, At: int64(10 * n), Request: 1, Number: n, Sent: int64(10*n + 1), Status: "error"})
	}
	w.Close()
	if code, out, errOut, _ := run(t, "audit", dir); code != ExitFault || !strings.Contains(out, "2 attempts over its steps, 1 allowed") || !strings.Contains(errOut, "breaches") {
		t.Errorf("code %d: %s%s", code, out, errOut)
	}
	if code, _, _, _ := run(t, "log", dir+"/none"); code != ExitFault {
		t.Errorf("no folder: code %d", code)
	}
}

// Calls are made as operators make them; a rejected call and an unreachable process have different codes.
func TestCtl(t *testing.T) {
	l := testbed.Listen(t)
	go admin.New(l, func(call admin.Call) (string, error) {
		if call.Name == "s-9" {
			return "", errors.New("not known")
		}
		return "done", nil
	}).Serve()
	addr := l.Addr().String()
	for _, c := range []struct {
		args []string
		code int
		out  string
	}{{[]string{"ctl", "detach", "s-1", "--admin", addr}, 0, "200"}, {[]string{"ctl", "attach", "s-9", "--admin", addr}, ExitFault, "400"},
		{[]string{"ctl", "ping", "--admin", "127.0.0.1:1"}, ExitUnreachable, ""}, {[]string{"ctl", "ping", "--admin", ""}, ExitUsage, ""}} {
		if code, out, errOut, _ := run(t, c.args...); code != c.code || !strings.HasPrefix(out, c.out) {
			t.Errorf("%v: code %d, %q %s", c.args, code, out, errOut)
		}
	}
	if code, out, _, _ := run(t, "version"); code != 0 || !strings.Contains(out, "go1.") {
		t.Errorf("version: %d %s", code, out)
	}
}
