package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// testTimeout limits how long a failing test waits; no assertion depends on it.
const testTimeout = 20 * time.Second

// receivedRequest is one request as a fake store received it.
type receivedRequest struct {
	store   string // id of the store
	method  string
	uri     string
	header  http.Header
	body    string
	request *http.Request
}

// script responds to a request on a raw connection and reports whether the connection may be reused.
type script func(connection net.Conn, got receivedRequest) bool

// fakeStore is a store on a loopback address that responds by a script.
type fakeStore struct {
	t        *testing.T
	id       string
	listener net.Listener
	mu       sync.Mutex
	script   script
	got      []receivedRequest
	accepted int // number of connections
}

func newFakeStore(t *testing.T, id string, answer script) *fakeStore {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fakeStore{t: t, id: id, listener: listener, script: answer}
	t.Cleanup(func() { listener.Close() })
	go s.accept()
	return s
}

func (s *fakeStore) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.accepted++
		s.mu.Unlock()
		go s.serve(connection)
	}
}

func (s *fakeStore) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		got := receivedRequest{store: s.id, method: request.Method, uri: request.RequestURI, header: request.Header, body: string(body), request: request}
		s.mu.Lock()
		s.got = append(s.got, got)
		answer := s.script
		s.mu.Unlock()
		if !answer(connection, got) {
			return
		}
	}
}

// requests returns the requests received so far.
func (s *fakeStore) requests() []receivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]receivedRequest(nil), s.got...)
}

// connections returns the number of connections accepted so far.
func (s *fakeStore) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// instance returns the store as an entry of the endpoint list.
func (s *fakeStore) instance(backend string) *tierpb.Instance {
	return &tierpb.Instance{Id: s.id, Backend: backend, Address: s.listener.Addr().String(), Slots: 8, Sequence: 1}
}

// responseHead returns the head of a response with the request's id and, for a success, a signature. The blank line at its
// end is missing.
func responseHead(got receivedRequest, status int, fields ...string) string {
	lines := []string{fmt.Sprintf("HTTP/1.1 %d Any", status), "X-Request-Id: " + got.header.Get("X-Request-Id")}
	if status < 300 {
		lines = append(lines, "X-Response-Signature: signature-"+got.store)
	}
	return strings.Join(append(lines, fields...), "\r\n") + "\r\n"
}

// reply responds with a status, a body and its Content-Length.
func reply(status int, body string, fields ...string) script {
	return func(connection net.Conn, got receivedRequest) bool {
		fmt.Fprintf(connection, "%sContent-Length: %d\r\n\r\n%s", responseHead(got, status, fields...), len(body), body)
		return true
	}
}

// closeAfter writes a text and closes the connection. HEAD in the text is replaced by the head of a success, without the
// blank line at its end.
func closeAfter(text string) script {
	return func(connection net.Conn, got receivedRequest) bool {
		io.WriteString(connection, strings.ReplaceAll(text, "HEAD", responseHead(got, 200)))
		return false
	}
}

// resetAfter is like closeAfter but resets the connection.
func resetAfter(text string) script {
	return func(connection net.Conn, got receivedRequest) bool {
		closeAfter(text)(connection, got)
		_ = connection.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// streamEvents responds with a chunked stream of events that is complete or truncated after the last one.
func streamEvents(complete bool, list ...string) script {
	return func(connection net.Conn, got receivedRequest) bool {
		io.WriteString(connection, responseHead(got, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")+"\r\n")
		for _, event := range list {
			fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event)
		}
		if complete {
			io.WriteString(connection, "0\r\n\r\n")
		}
		return complete
	}
}

// numberedEvents returns events whose ids go from first to last.
func numberedEvents(first, last int) []string {
	var list []string
	for i := first; i <= last; i++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i))
	}
	return list
}

// sequence uses the scripts for consecutive requests, and the last one for all later requests.
func sequence(scripts ...script) script {
	var mu sync.Mutex
	next := 0
	return func(connection net.Conn, got receivedRequest) bool {
		mu.Lock()
		chosen := scripts[min(next, len(scripts)-1)]
		next++
		mu.Unlock()
		return chosen(connection, got)
	}
}

// fakeTurnStores is a turnStoreClient and budgetClient that keeps turns and budgets in memory. The on functions are called
// before the operation of the same name.
type fakeTurnStores struct {
	mu       sync.Mutex
	records  map[string]*tierpb.TurnRecord
	chainErr error
	saveErr  error
	onSave   func(context.Context)
	onChain  func(context.Context)
	onWait   func()

	onReserve func(context.Context)

	reserveErr error
	reserved   map[string]uint64
	settled    map[string]uint64
	withdrawn  map[string]bool
}

func newFakeTurnStores() *fakeTurnStores {
	return &fakeTurnStores{
		records: map[string]*tierpb.TurnRecord{}, reserved: map[string]uint64{},
		settled: map[string]uint64{}, withdrawn: map[string]bool{},
	}
}

func (s *fakeTurnStores) Ready() bool { return true }

func (s *fakeTurnStores) Chain(ctx context.Context, id string) ([]*tierpb.TurnRecord, error) {
	if s.onChain != nil {
		s.onChain(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chainErr != nil {
		return nil, s.chainErr
	}
	var chain []*tierpb.TurnRecord
	for id != "" {
		record := s.records[id]
		if record == nil {
			return nil, turns.ErrNotFound
		}
		chain = append([]*tierpb.TurnRecord{record}, chain...)
		id = record.Previous
	}
	return chain, nil
}

func (s *fakeTurnStores) Save(ctx context.Context, record *tierpb.TurnRecord) error {
	if s.onSave != nil {
		s.onSave(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.saveErr != nil {
		return s.saveErr
	}
	s.records[record.Id] = record
	return nil
}

func (s *fakeTurnStores) Reserve(ctx context.Context, _ string, _ uint64, request string, maxTokens uint64) error {
	if s.onReserve != nil {
		s.onReserve(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserveErr == nil {
		s.reserved[request] = maxTokens
	}
	return s.reserveErr
}

func (s *fakeTurnStores) Wait() {
	if s.onWait != nil {
		s.onWait()
	}
}

func (s *fakeTurnStores) Settle(_, request string, used uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settled[request] = used
}

func (s *fakeTurnStores) Withdraw(_, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawn[request] = true
}

// testConfiguration has a route of each kind: i is idempotent, n is not, s is streaming, r is streaming and resumable, t is
// streaming and retained. Its services are plain, and model, which has an engine.
const testConfiguration = `{"generation":%d,"routes":[
{"name":"i","hostname":"h.example","pathPrefix":"/i/","kind":"idempotent","timeoutMs":%[2]d,"targetLatencyMs":200,"priority":0,"backend":"plain","maxAttempts":2},
{"name":"n","hostname":"h.example","pathPrefix":"/n/","kind":"non_idempotent","timeoutMs":%[2]d,"targetLatencyMs":200,"priority":0,"backend":"plain","maxAttempts":2},
{"name":"s","hostname":"h.example","pathPrefix":"/s/","kind":"streaming","timeoutMs":%[2]d,"targetLatencyMs":200,"priority":0,"backend":"model","maxAttempts":2,"gap_aim_ms":400},
{"name":"r","hostname":"h.example","pathPrefix":"/r/","kind":"streaming","timeoutMs":%[2]d,"targetLatencyMs":200,"priority":0,"backend":"model","maxAttempts":2,"resumable":true,"gap_aim_ms":400},
{"name":"t","hostname":"h.example","pathPrefix":"/t/","kind":"streaming","timeoutMs":%[2]d,"targetLatencyMs":200,"priority":0,"backend":"model","maxAttempts":2,"retained":true,"retentionS":60.0,"sessionAffinity":true,"gap_aim_ms":400}],
"services":[{"name":"plain","healthPath":"/healthz","maxConnections":96},
{"name":"model","healthPath":"/healthz","maxConnections":96,"engine":{"slots":8,"kvTokens":1000,"stride":3,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":4096,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// testProxy is a proxy that listens on a loopback address and uses fakeTurnStores.
type testProxy struct {
	t          *testing.T
	proxy      *Proxy
	server     *clientServer
	turnStores *fakeTurnStores
	address    string
}

// newTestProxy starts a proxy that knows the given stores of the services plain and model. All routes have the same
// timeout.
func newTestProxy(t *testing.T, timeout time.Duration, plain, model []*fakeStore) *testProxy {
	t.Helper()
	tp := &testProxy{t: t, turnStores: newFakeTurnStores()}
	tp.proxy = New(hclog.NewNullLogger(), "z", watch.NewState())
	tp.proxy.turns, tp.proxy.budgets = tp.turnStores, tp.turnStores
	tp.configure(1, fmt.Sprintf(testConfiguration, 1, timeout.Milliseconds()))
	for _, store := range plain {
		tp.proxy.state.Upsert(store.instance("plain"))
	}
	for _, store := range model {
		tp.proxy.state.Upsert(store.instance("model"))
	}
	tp.proxy.applyState()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	tp.address = listener.Addr().String()
	tp.server = newClientServer(tp.proxy, listener.(*net.TCPListener))
	go tp.server.serve()
	t.Cleanup(func() {
		tp.server.close()
		tp.proxy.transport.Close()
	})
	return tp
}

// configure applies a configuration.
func (tp *testProxy) configure(version uint64, body string) {
	tp.proxy.state.SetControl(&tierpb.ControlState{
		Version: version, Configuration: &tierpb.Configuration{Generation: version, Body: []byte(body)},
	})
	tp.proxy.applyState()
}

// clientResponse is what a client received.
type clientResponse struct {
	status int
	header http.Header
	body   string
	err    error // error while reading the head or the body
	raw    *http.Response
}

// send sends a request on a new connection and reads the whole response.
func (tp *testProxy) send(method, path, id, body string, fields ...string) clientResponse {
	connection, err := net.Dial("tcp4", tp.address)
	assert.NilError(tp.t, err)
	defer connection.Close()
	return tp.sendOn(connection, method, path, id, body, fields...)
}

// sendOn is send on an existing connection.
func (tp *testProxy) sendOn(connection net.Conn, method, path, id, body string, fields ...string) clientResponse {
	assert.NilError(tp.t, connection.SetDeadline(time.Now().Add(testTimeout)))
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n", method, path, id)
	for _, field := range fields {
		text.WriteString(field + "\r\n")
	}
	if body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	_, err := connection.Write(text.Bytes())
	assert.NilError(tp.t, err)
	return readResponse(bufio.NewReader(connection), method)
}

// readResponse reads a whole response.
func readResponse(reader *bufio.Reader, method string) clientResponse {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return clientResponse{err: err}
	}
	read, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(read), err: err, raw: response}
}

// openConnections returns the number of open client connections.
func (s *clientServer) openConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// post sends a request without a body on a new connection and does not wait for the response.
func (tp *testProxy) post(path, id string, fields ...string) net.Conn {
	connection, err := net.Dial("tcp4", tp.address)
	assert.NilError(tp.t, err)
	tp.t.Cleanup(func() { connection.Close() })
	assert.NilError(tp.t, connection.SetDeadline(time.Now().Add(testTimeout)))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n", path, id)
	for _, field := range fields {
		head += field + "\r\n"
	}
	_, err = io.WriteString(connection, head+"\r\n")
	assert.NilError(tp.t, err)
	return connection
}

// awaitConnectionsEnd closes idle client connections until none is open.
func (tp *testProxy) awaitConnectionsEnd() {
	for tp.server.closeIdle(time.Now().Add(time.Minute)) > 0 {
		runtime.Gosched()
	}
}

// sendHTTP10 sends an HTTP/1.0 request and reads until the connection ends. complete reports whether the connection was
// closed and not reset.
func (tp *testProxy) sendHTTP10(path string) (got clientResponse, complete bool) {
	connection, err := net.Dial("tcp4", tp.address)
	assert.NilError(tp.t, err)
	defer connection.Close()
	assert.NilError(tp.t, connection.SetDeadline(time.Now().Add(testTimeout)))
	fmt.Fprintf(connection, "POST %s HTTP/1.0\r\nHost: h.example\r\nX-Request-Id: id\r\nContent-Length: 2\r\n\r\nin", path)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return clientResponse{err: err}, false
	}
	body, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err, raw: response}, err == nil
}

// newTestProxyFor starts a proxy with one store, which belongs to the service that the path is routed to.
func newTestProxyFor(t *testing.T, path string, store *fakeStore) *testProxy {
	t.Helper()
	if strings.HasPrefix(path, "/n/") {
		return newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	}
	return newTestProxy(t, longTimeout, nil, []*fakeStore{store})
}

// stall sends events, if any are given, and then nothing until the test ends.
func stall(t *testing.T, before ...string) script {
	t.Helper()
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	return func(connection net.Conn, got receivedRequest) bool {
		if len(before) > 0 {
			io.WriteString(connection, responseHead(got, 200, "Transfer-Encoding: chunked")+"\r\n")
		}
		for _, event := range before {
			fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event)
		}
		<-release
		return false
	}
}

// Route timeouts for newTestProxy.
const (
	shortTimeout = 200 * time.Millisecond // for tests that wait for it
	longTimeout  = 10 * time.Second       // for tests that end before it
)

// eventText returns the text of numberedEvents.
func eventText(first, last int) string { return strings.Join(numberedEvents(first, last), "") }

// budgetFields are header fields of a turn with a budget, of which it reserves 9 tokens (3 events).
var budgetFields = []string{"Program: p", "Budget: 90", "X-Token-Usage: 100,9"}

// unreadyTurnStores is fakeTurnStores that knows no turn store until ready is set.
type unreadyTurnStores struct {
	*fakeTurnStores
	ready atomic.Bool
	asked chan struct{} // receives a value at each call of Ready
}

func (s *unreadyTurnStores) Ready() bool {
	s.asked <- struct{}{}
	return s.ready.Load()
}

// unreachableCaller is an rpc.Caller whose calls all time out.
type unreachableCaller struct{}

func (unreachableCaller) Call(ctx context.Context, _ string, _ rpc.Method, _, _ rpc.Message) error {
	<-ctx.Done()
	return rpc.ErrTimeout
}

// withVersion responds by a script and adds a weights version to the head. If the request expects another version, it
// responds with a 421 instead.
func withVersion(version string, answer script) script {
	return func(connection net.Conn, got receivedRequest) bool {
		if expected := got.header.Get("Expect-Version"); expected != "" && expected != version {
			return reply(421, "", "X-Not-Executed: 1", "Versions: "+version)(connection, got)
		}
		return answer(headerInjector{Conn: connection, field: "Versions: " + version + "\r\n"}, got)
	}
}

// headerInjector adds a header field to each response head with status 200 that is written.
type headerInjector struct {
	net.Conn
	field string
}

func (i headerInjector) Write(text []byte) (int, error) {
	const status = "HTTP/1.1 200 Any\r\n"
	if len(text) < len(status) || string(text[:len(status)]) != status {
		return i.Conn.Write(text)
	}
	if _, err := io.WriteString(i.Conn, status+i.field); err != nil {
		return 0, err
	}
	written, err := i.Conn.Write(text[len(status):])
	return written + len(status), err
}

// stallAfterEvents sends two events and then nothing until the test ends.
func stallAfterEvents(t *testing.T) script {
	t.Helper()
	return stall(t, numberedEvents(1, 2)...)
}
