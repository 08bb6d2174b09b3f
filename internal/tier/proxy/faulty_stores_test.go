package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// eventsOf is how many events a stream has.
func eventsOf(id string) int { return 1 + int(hashOf(id)%20) }

// requestBody is the body of a request, which its id tells.
func requestBody(id string) string {
	return strings.Repeat(id+" ", []int{0, 1, 2000, 6000}[hashOf(id)%4])
}

// storeResponse is what a store that ran a request has answered.
type storeResponse struct {
	id     string
	status int
	body   string
	whole  bool // all of it was sent, as far as the connection carried it
}

// storeJournal keeps what stores did.
type storeJournal struct {
	mu         sync.Mutex
	arrivals   map[string]int
	executions map[string]int
	answers    map[string]storeResponse // by stamp
	partial    []string                 // requests of which clients sent a part
	faults     []string
}

func newStoreJournal() *storeJournal {
	return &storeJournal{arrivals: map[string]int{}, executions: map[string]int{}, answers: map[string]storeResponse{}}
}

func (l *storeJournal) recordArrival(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id]++
	return l.arrivals[id]
}

// recordExecution notes that a request is run and returns the stamp of its answer.
func (l *storeJournal) recordExecution(id string, status int, body string, whole bool) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[id]++
	stamp := fmt.Sprintf("%s-%d", id, l.executions[id])
	l.answers[stamp] = storeResponse{id, status, body, whole}
	return stamp
}

func (l *storeJournal) recordAborted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partial = append(l.partial, id)
}

func (l *storeJournal) fault(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, values...))
}

// recordReadError takes in why a store could not read a request: connections may end, but hold nothing else than requests.
func (l *storeJournal) recordReadError(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed) {
		return
	}
	l.fault("store read what is no request: %v", err)
}

// notExecutedStatuses are the statuses that say that a request has not run and will not.
var notExecutedStatuses = map[int]bool{408: true, 421: true, 429: true, 503: true}

// check notes what is wrong with a client's answer and returns the kind of its outcome.
func (l *storeJournal) check(path, id string, got clientResponse) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := func(format string, values ...any) {
		l.faults = append(l.faults, id+path+": "+fmt.Sprintf(format, values...))
	}
	if got.status == 0 {
		return "no head"
	}
	if got.header.Get("X-Request-Id") != id {
		fault("answer of %q", got.header.Get("X-Request-Id"))
	}
	given, known := l.answers[got.header.Get("X-Response-Signature")]
	switch {
	case known && (given.id != id || given.status != got.status):
		fault("%d of %s came as %d", given.status, given.id, got.status)
	case known && !strings.HasPrefix(wantedBody(path, id, given), got.body):
		fault("another body: %d, err %v, got %.200q, given %.200q", got.status, got.err, got.body, wantedBody(path, id, given))
	case known && got.err == nil && got.body != wantedBody(path, id, given):
		fault("%d %v %d of %d bytes look whole", got.status, got.header, len(got.body), len(wantedBody(path, id, given)))
	case known && got.err == nil && path[1] != 'r' && !given.whole:
		fault("an answer that broke off looks whole")
	case !known && got.status < 500:
		fault("%d without a store's stamp", got.status)
	}
	switch {
	case got.err != nil:
		return "broken off"
	case known:
		return "store's own"
	case notExecutedStatuses[got.status]:
		return "promise"
	}
	return "failure"
}

// wantedBody is what an answer's body should be: a stream's is the same from any store.
func wantedBody(path, id string, given storeResponse) string {
	if given.status == 200 && path[1] == 'r' {
		return eventText(1, eventsOf(id))
	}
	return given.body
}

// faultTestClient sends one request after the other, on one connection while that lasts.
type faultTestClient struct {
	proxy      *testProxy
	journal    *storeJournal
	connection net.Conn
	reader     *bufio.Reader
}

func (c *faultTestClient) send(path, id string, protocol string) clientResponse {
	if c.connection == nil {
		connection, err := net.Dial("tcp4", c.proxy.address)
		if err != nil {
			return clientResponse{err: err}
		}
		c.connection, c.reader = connection, bufio.NewReader(connection)
	}
	_ = c.connection.SetDeadline(time.Now().Add(testTimeout))
	body := requestBody(id)
	_, _ = fmt.Fprintf(c.connection, "POST %s %s\r\nHost: h.example\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", path, protocol, id, len(body), body)
	got := readResponse(c.reader, "POST")
	if got.err == nil && c.reader.Buffered() > 0 {
		c.journal.fault("%s%s: bytes behind an answer", id, path)
	}
	if got.err != nil || got.raw.Close {
		c.connection.Close()
		c.connection = nil
	}
	return got
}

// abortRequest sends a part of a request on a connection of its own, with its body by length or in chunks, and ends that in an
// orderly way or not. It does nothing for a request without a body.
func (c *faultTestClient) abortRequest(path, id string) bool {
	body := requestBody(id)
	if body == "" {
		return false
	}
	connection, err := net.Dial("tcp4", c.proxy.address)
	if err != nil {
		return false
	}
	defer connection.Close()
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	if hashOf(id)%2 == 0 {
		framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	whole := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n%s", path, id, framing)
	_, _ = io.WriteString(connection, whole[:1+int(hashOf(id+"cut")%uint64(len(whole)-1))])
	if hashOf(id)%3 == 0 {
		_ = connection.(*net.TCPConn).SetLinger(0)
	}
	c.journal.recordAborted(id)
	return true
}

// Stores treat requests in any way that a small grammar makes: they answer early, late, twice, in part, as others or not at
// all, and end connections in an orderly way or not. Each client gets a store's own answer whole, or a failure that looks
// like one; nothing runs twice that may not, nor after a promise; stores get nothing but whole requests and beginnings, and
// nothing of a request that its client broke off.
func TestStoresInDisorder(t *testing.T) {
	seeds := 8
	if testing.Short() {
		seeds = 3
	}
	outcomes := map[string]int{}
	for seed := range uint64(seeds) {
		runFaultyStores(t, seed, outcomes)
	}
	t.Logf("outcomes: %v", outcomes)
	for _, kind := range []string{"broken off", "store's own", "promise", "failure"} {
		assert.Check(t, outcomes[kind] > 0, kind)
	}
}

func runFaultyStores(t *testing.T, seed uint64, outcomes map[string]int) {
	const clients, requestsEach = 6, 25
	book := newStoreJournal()
	b := newTestProxy(t, longTimeout, nil, nil)
	for i := range 6 {
		backend := []string{"plain", "model"}[i%2]
		b.proxy.state.Upsert(newFaultyStore(t, fmt.Sprintf("store-%d", i), seed, book).instance(backend))
	}
	b.proxy.applyState()
	var mu sync.Mutex
	var done sync.WaitGroup
	for number := range clients {
		done.Go(func() {
			client := &faultTestClient{proxy: b, journal: book}
			for i := range requestsEach {
				id := fmt.Sprintf("%d.%d.%d", seed, number, i)
				path := []string{"/n/x", "/i/x", "/s/x", "/r/x", "/t/x"}[hashOf(id+"path")%5]
				protocol := []string{"HTTP/1.1", "HTTP/1.1", "HTTP/1.0"}[hashOf(id+"protocol")%3]
				if hashOf(id+"breaks off")%10 == 0 && client.abortRequest(path, id) {
					continue
				}
				got := client.send(path, id, protocol)
				kind := book.check(path, id, got)
				if kind == "promise" && path != "/i/x" && path != "/r/x" {
					assert.Check(t, book.executionsOf(id) == 0, "%s%s has run and got %d", id, path, got.status)
				}
				mu.Lock()
				outcomes[kind]++
				mu.Unlock()
			}
			if client.connection != nil {
				client.connection.Close()
			}
		})
	}
	done.Wait()
	book.checkFinal(t, seed)
}

func (l *storeJournal) executionsOf(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[id]
}

// checkFinal checks what holds at the end.
func (l *storeJournal) checkFinal(t *testing.T, seed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fault := range l.faults {
		t.Errorf("seed %d: %s", seed, fault)
	}
	for _, id := range l.partial {
		assert.Check(t, l.arrivals[id] == 0, "seed %d: a store got the broken off %s", seed, id)
	}
	for id, runs := range l.executions {
		most := 1
		if path := hashOf(id+"path") % 5; path == 1 || path == 3 {
			most = 2
		}
		assert.Check(t, runs <= most, "seed %d: %s ran %d times", seed, id, runs)
	}
}
