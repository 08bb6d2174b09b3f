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

// eventsOf returns the number of events in the stream for a request.
func eventsOf(id string) int { return 1 + int(hashKey(id)%20) }

// requestBody returns the body of a request, which is derived from its id.
func requestBody(id string) string {
	return strings.Repeat(id+" ", []int{0, 1, 2000, 6000}[hashKey(id)%4])
}

// storeResponse records the response of a store that executed a request.
type storeResponse struct {
	id       string
	status   int
	body     string
	complete bool // the store wrote the whole response
}

// storeJournal records what all stores received and sent, and the violations found.
type storeJournal struct {
	mu              sync.Mutex
	arrivals        map[string]int
	executions      map[string]int
	responses       map[string]storeResponse // by signature
	abortedRequests []string                 // requests that clients sent only partly
	faults          []string
}

func newStoreJournal() *storeJournal {
	return &storeJournal{arrivals: map[string]int{}, executions: map[string]int{}, responses: map[string]storeResponse{}}
}

func (j *storeJournal) recordArrival(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals[id]++
	return j.arrivals[id]
}

// recordExecution records the execution of a request with its response, and returns the signature of the response.
func (j *storeJournal) recordExecution(id string, status int, body string, complete bool) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions[id]++
	signature := fmt.Sprintf("%s-%d", id, j.executions[id])
	j.responses[signature] = storeResponse{id, status, body, complete}
	return signature
}

// recordAborted records that a client sent only a part of a request.
func (j *storeJournal) recordAborted(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.abortedRequests = append(j.abortedRequests, id)
}

// fault records a violation.
func (j *storeJournal) fault(format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = append(j.faults, fmt.Sprintf(format, values...))
}

// recordReadError records a violation if a store received something other than a request or the beginning of one.
func (j *storeJournal) recordReadError(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed) {
		return
	}
	j.fault("store read something other than a request: %v", err)
}

// notExecutedStatuses are the statuses that guarantee that a request was not executed.
var notExecutedStatuses = map[int]bool{408: true, 421: true, 429: true, 503: true}

// check records violations in a client's response and returns the kind of the response.
func (j *storeJournal) check(path, id string, got clientResponse) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	fault := func(format string, values ...any) {
		j.faults = append(j.faults, id+path+": "+fmt.Sprintf(format, values...))
	}
	if got.status == 0 {
		return "no response"
	}
	if got.header.Get("X-Request-Id") != id {
		fault("response has request id %q", got.header.Get("X-Request-Id"))
	}
	recorded, known := j.responses[got.header.Get("X-Response-Signature")]
	switch {
	case known && (recorded.id != id || recorded.status != got.status):
		fault("response to %s with status %d was received with status %d", recorded.id, recorded.status, got.status)
	case known && !strings.HasPrefix(wantedBody(path, id, recorded), got.body):
		fault("wrong body: status %d, err %v, got %.200q, want %.200q", got.status, got.err, got.body, wantedBody(path, id, recorded))
	case known && got.err == nil && got.body != wantedBody(path, id, recorded):
		fault("truncated response looks complete: status %d, header %v, %d of %d bytes", got.status, got.header, len(got.body), len(wantedBody(path, id, recorded)))
	case known && got.err == nil && path[1] != 'r' && !recorded.complete:
		fault("response that the store truncated looks complete")
	case !known && got.status < 500:
		fault("status %d without a store's signature", got.status)
	}
	switch {
	case got.err != nil:
		return "aborted"
	case known:
		return "store response"
	case notExecutedStatuses[got.status]:
		return "not executed"
	}
	return "failure"
}

// wantedBody returns the expected body of a response. A resumable stream has the same events from any store.
func wantedBody(path, id string, recorded storeResponse) string {
	if recorded.status == 200 && path[1] == 'r' {
		return eventText(1, eventsOf(id))
	}
	return recorded.body
}

// faultTestClient sends requests one after the other and reuses its connection while that stays open.
type faultTestClient struct {
	proxy      *testProxy
	journal    *storeJournal
	connection net.Conn
	reader     *bufio.Reader
}

// send sends a request and reads the whole response.
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
		c.journal.fault("%s%s: unexpected bytes after a response", id, path)
	}
	if got.err != nil || got.raw.Close {
		c.connection.Close()
		c.connection = nil
	}
	return got
}

// abortRequest sends a part of a request, with a length or in chunks, on a separate connection, and then closes or resets
// the connection. For a request without a body it does nothing and returns false.
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
	if hashKey(id)%2 == 0 {
		framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n%s", path, id, framing)
	_, _ = io.WriteString(connection, request[:1+int(hashKey(id+"cut")%uint64(len(request)-1))])
	if hashKey(id)%3 == 0 {
		_ = connection.(*net.TCPConn).SetLinger(0)
	}
	c.journal.recordAborted(id)
	return true
}

// Stores handle requests with randomly drawn behaviors: they respond early, late, twice, partly, to other requests or not
// at all, and close or reset connections. Each client receives either a complete response that a store sent for its
// request, or a recognizable failure. No request is executed more often than its route allows, or at all if its client
// received a not-executed guarantee. Stores receive only requests or prefixes of them, and nothing of a request that its
// client aborted.
func TestClientsGetConsistentResponsesFromFaultyStores(t *testing.T) {
	seeds := 8
	if testing.Short() {
		seeds = 3
	}
	outcomes := map[string]int{}
	for seed := range uint64(seeds) {
		runFaultyStores(t, seed, outcomes)
	}
	t.Logf("outcomes: %v", outcomes)
	for _, kind := range []string{"aborted", "store response", "not executed", "failure"} {
		assert.Check(t, outcomes[kind] > 0, "no request ended as %q", kind)
	}
}

// runFaultyStores sends requests from several clients through a proxy with faulty stores and counts the kinds of responses.
func runFaultyStores(t *testing.T, seed uint64, outcomes map[string]int) {
	t.Helper()
	const clients, requestsEach = 6, 25
	journal := newStoreJournal()
	tp := newTestProxy(t, longTimeout, nil, nil)
	for i := range 6 {
		backend := []string{"plain", "model"}[i%2]
		tp.proxy.state.Upsert(newFaultyStore(t, fmt.Sprintf("store-%d", i), seed, journal).instance(backend))
	}
	tp.proxy.applyState()
	var mu sync.Mutex
	var group sync.WaitGroup
	for number := range clients {
		group.Go(func() {
			client := &faultTestClient{proxy: tp, journal: journal}
			for i := range requestsEach {
				id := fmt.Sprintf("%d.%d.%d", seed, number, i)
				path := []string{"/n/x", "/i/x", "/s/x", "/r/x", "/t/x"}[hashKey(id+"path")%5]
				protocol := []string{"HTTP/1.1", "HTTP/1.1", "HTTP/1.0"}[hashKey(id+"protocol")%3]
				if hashKey(id+"breaks off")%10 == 0 && client.abortRequest(path, id) {
					continue
				}
				got := client.send(path, id, protocol)
				kind := journal.check(path, id, got)
				if kind == "not executed" && path != "/i/x" && path != "/r/x" {
					assert.Check(t, journal.executionsOf(id) == 0, "%s%s was executed and received %d", id, path, got.status)
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
	group.Wait()
	journal.checkFinal(t, seed)
}

func (j *storeJournal) executionsOf(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.executions[id]
}

// checkFinal reports all violations after the last request.
func (j *storeJournal) checkFinal(t *testing.T, seed uint64) {
	t.Helper()
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, fault := range j.faults {
		t.Errorf("seed %d: %s", seed, fault)
	}
	for _, id := range j.abortedRequests {
		assert.Check(t, j.arrivals[id] == 0, "seed %d: a store received the aborted request %s", seed, id)
	}
	for id, executions := range j.executions {
		maxExecutions := 1
		if path := hashKey(id+"path") % 5; path == 1 || path == 3 {
			maxExecutions = 2
		}
		assert.Check(t, executions <= maxExecutions, "seed %d: %s was executed %d times", seed, id, executions)
	}
}
