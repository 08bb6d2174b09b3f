package lifecycle

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/search"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
	"pulleygw.example/pulleygw/internal/gatherer/testbed/lots"
)

// A daemon on sockets among lot stores that hold lots: pages are the same in one phase and in two, in which most ranges
// are skipped once their bounds are known and few are asked for listings. A truncated answer ends its connection only, and
// the page is complete.
func TestSearchOnSockets(t *testing.T) {
	pages := map[search.Phases][]string{}
	for _, phases := range []search.Phases{search.One, search.Two} {
		corpus, asked := lots.New(7, shards, 50), &lots.Requests{}
		cut := make(chan struct{}, 1)
		cut <- struct{}{}
		var hosts []string
		for i := range 12 {
			name := fmt.Sprintf("s-%d", i)
			script := lots.Script{Tamper: func(_ int, _ lots.Phase, item string) string {
				select {
				case <-cut: // one answer only
					return item[:len(item)/2]
				default:
					return item
				}
			}}
			l := testbed.Listen(t)
			go lots.Serve(l.(*net.TCPListener), corpus.NewReplica(name, time.Hour), script, asked)
			hosts = append(hosts, testbed.Host(name, l.Addr().String(), []string{"cheonan", "pyeongtaek"}[i%2], i/2, "ready"))
		}
		d, _ := startAmong(t, testbed.List(1, hosts...), &FrontConfig{Listen: "127.0.0.1:0",
			Indices: map[string]string{"lots": "lot-search", "bids": "place-bid"}, Stores: true, Phases: phases}, nil, func(*Config) {})
		for i := range 4 {
			p := do(t, d.Addrs()[1], "POST", fmt.Sprintf("/lots/_search?from=%d&size=5&timeout=3s", i%2*5), nil,
				`{"query":{"match":{"title":"tractor"}},"sort":[{"price":"desc"}],"_source":["title","price"]}`)
			body := gjson.ParseBytes(p.Body)
			page := body.Get("hits.hits.#._id").Raw + body.Get("hits.hits.#._source.price").Raw
			if p.Status != 200 || !body.Get("coverage.whole").Bool() || body.Get("hits.hits.#").Int() != 5 || body.Get("coverage.phases").Int() != int64(phases) {
				t.Fatalf("%d %s", p.Status, p.Body)
			}
			pages[phases] = append(pages[phases], page)
		}
		if listings := len(asked.ByRange(lots.Listings)); (listings > 0) != (phases == search.Two) || listings > 10 {
			t.Errorf("phases %d: listings asked of %d ranges", phases, listings)
		}
		if len(cut) != 0 {
			t.Error("nothing was cut")
		}
	}
	if one, two := strings.Join(pages[search.One], ""), strings.Join(pages[search.Two], ""); one != two || pages[search.One][0] == pages[search.One][1] {
		t.Errorf("pages in one phase\n%s\nand in two\n%s", one, two)
	}
}

// Keys of points in time rotate by SIGHUP: tokens of the previous key stay valid until it is removed, at every process that
// has the file. A file that others can read or that holds no key changes nothing.
func TestKeysRotate(t *testing.T) {
	corpus := lots.New(7, shards, 5)
	var hosts []string
	for i := range 6 {
		l := testbed.Listen(t)
		go lots.Serve(l.(*net.TCPListener), corpus.NewReplica(fmt.Sprint("s-", i), time.Hour), lots.Script{}, &lots.Requests{})
		hosts = append(hosts, testbed.Host(fmt.Sprint("s-", i), l.Addr().String(), "cheonan", i, "ready"))
	}
	dir := t.TempDir()
	keys := dir + "/keys"
	write := func(mode os.FileMode, names ...string) {
		text := ""
		for _, n := range names {
			text += strings.Repeat(n, 32) + "\n"
		}
		if err := os.Remove(keys); err != nil && !errors.Is(err, fs.ErrNotExist) {
			t.Fatal(err)
		}
		if err := os.WriteFile(keys, []byte(text), mode); err != nil {
			t.Fatal(err)
		}
	}
	write(0o600, "aa")
	front := dir + "/front.json"
	if err := os.WriteFile(front, []byte(`{"listen":"127.0.0.1:0","indices":{"lots":"lot-search","bids":"place-bid"},"stores":"opensearch","pit":{"keys":"`+keys+`"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	startOne := func() *Daemon {
		f, err := LoadFront(front, &settings.Settings{Classes: []string{"lot-search", "place-bid"}})
		if err != nil {
			t.Fatal(err)
		}
		d, _ := startAmong(t, testbed.List(1, hosts...), f, nil, func(*Config) {})
		return d
	}
	one, two := startOne(), startOne()
	open := func(d *Daemon) string {
		p := do(t, d.Addrs()[1], "POST", "/lots/_search/point_in_time", nil, "")
		if p.Status != 200 {
			t.Fatalf("%d %s", p.Status, p.Body)
		}
		return gjson.GetBytes(p.Body, "pit_id").Str
	}
	status := func(d *Daemon, token string) int {
		return do(t, d.Addrs()[1], "POST", "/_search", nil, `{"pit":{"id":"`+token+`"}}`).Status
	}
	old := open(one)
	if got := status(two, old); got != 200 {
		t.Errorf("at another gatherer with the key: %d", got)
	}
	write(0o600, "bb", "aa")
	one.reloadKeys()
	fresh := open(one)
	if a, b, c := status(one, old), status(one, fresh), status(two, fresh); a != 200 || b != 200 || c != 404 {
		t.Errorf("rotated here: old %d, new %d; not there yet: new %d", a, b, c)
	}
	for _, bad := range []func(){func() { write(0o644, "bb") }, func() { write(0o600) }} {
		bad()
		one.reloadKeys()
		if got := status(one, old); got != 200 {
			t.Errorf("a bad file took keys away: %d", got)
		}
	}
	write(0o600, "bb")
	one.reloadKeys()
	if a, b := status(one, old), status(one, fresh); a != 404 || b != 200 {
		t.Errorf("taken out: old %d, new %d", a, b)
	}
}
