package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// testTimeout bounds waits of tests, so that a mistake ends them; no test goes by it.
const testTimeout = 20 * time.Second

// receivedRequest is one request as a stand-in store got it.
type receivedRequest struct {
	store   string
	method  string
	uri     string
	header  http.Header
	body    string
	request *http.Request
}

// script answers a request on a raw connection and says whether the connection may be used again.
type script func(connection net.Conn, got receivedRequest) bool

// fakeStore is a store on the loopback that answers by a script.
type fakeStore struct {
	t        *testing.T
	id       string
	listener net.Listener
	mu       sync.Mutex
	script   script
	got      []receivedRequest
	accepted int
}

func newFakeStore(t *testing.T, id string, answer script) *fakeStore {
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

func (s *fakeStore) requests() []receivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]receivedRequest(nil), s.got...)
}

func (s *fakeStore) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

func (s *fakeStore) instance(backend string) *tierpb.Instance {
	return &tierpb.Instance{Id: s.id, Backend: backend, Address: s.listener.Addr().String(), Slots: 8, Sequence: 1}
}

// responseHead begins an answer that carries the request's id.
func responseHead(got receivedRequest, status int, fields ...string) string {
	lines := []string{fmt.Sprintf("HTTP/1.1 %d Any", status), "X-Request-Id: " + got.header.Get("X-Request-Id")}
	if status < 300 {
		lines = append(lines, "X-Response-Signature: stamp-"+got.store)
	}
	return strings.Join(append(lines, fields...), "\r\n") + "\r\n"
}

// reply answers with a body and a length.
func reply(status int, body string, fields ...string) script {
	return func(connection net.Conn, got receivedRequest) bool {
		fmt.Fprintf(connection, "%sContent-Length: %d\r\n\r\n%s", responseHead(got, status, fields...), len(body), body)
		return true
	}
}

// closeAfter closes the connection after these bytes; HEAD is replaced by the head of a success without its end.
func closeAfter(bytes string) script {
	return func(connection net.Conn, got receivedRequest) bool {
		io.WriteString(connection, strings.ReplaceAll(bytes, "HEAD", responseHead(got, 200)))
		return false
	}
}

// resetAfter is cut with a resetAfter of the connection in place of its orderly end.
func resetAfter(bytes string) script {
	return func(connection net.Conn, got receivedRequest) bool {
		closeAfter(bytes)(connection, got)
		_ = connection.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// streamEvents answers with a stream of these streamEvents in chunks, complete or broken off.
func streamEvents(complete bool, list ...string) script {
	return func(connection net.Conn, got receivedRequest) bool {
		io.WriteString(connection, responseHead(got, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")+"\r\n")
		for _, one := range list {
			fmt.Fprintf(connection, "%x\r\n%s\r\n", len(one), one)
		}
		if complete {
			io.WriteString(connection, "0\r\n\r\n")
		}
		return complete
	}
}

func numberedEvents(first, last int) []string {
	var list []string
	for i := first; i <= last; i++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i))
	}
	return list
}

// sequence runs one script after the other, and the last from then on.
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

// fakeTurnStores keeps turns and budgets in memory.
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

func (k *fakeTurnStores) Ready() bool { return true }

func (k *fakeTurnStores) Chain(ctx context.Context, id string) ([]*tierpb.TurnRecord, error) {
	if k.onChain != nil {
		k.onChain(ctx)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.chainErr != nil {
		return nil, k.chainErr
	}
	var chain []*tierpb.TurnRecord
	for id != "" {
		record := k.records[id]
		if record == nil {
			return nil, turns.ErrNotFound
		}
		chain = append([]*tierpb.TurnRecord{record}, chain...)
		id = record.Previous
	}
	return chain, nil
}

func (k *fakeTurnStores) Save(ctx context.Context, record *tierpb.TurnRecord) error {
	if k.onSave != nil {
		k.onSave(ctx)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.saveErr != nil {
		return k.saveErr
	}
	k.records[record.Id] = record
	return nil
}

func (k *fakeTurnStores) Reserve(ctx context.Context, _ string, _ uint64, request string, most uint64) error {
	if k.onReserve != nil {
		k.onReserve(ctx)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.reserveErr == nil {
		k.reserved[request] = most
	}
	return k.reserveErr
}

func (k *fakeTurnStores) Wait() {
	if k.onWait != nil {
		k.onWait()
	}
}

func (k *fakeTurnStores) Settle(_, request string, used uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.settled[request] = used
}

func (k *fakeTurnStores) Withdraw(_, request string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.withdrawn[request] = true
}

// testConfiguration has a route of each kind; all lead to the services plain and model.
const testConfiguration = `{"generation":%d,"routes":[
{"name":"i","hostname":"h.example","pathPrefix":"/i/","kind":"idempotent","timeoutMs":%[2]d,"targetLatencyMs":200,"priority":0,"backend":"plain","maxAttempts":2},
{"name":"n","hostname":"h.example","pathPrefix":"/n/","kind":"non_idempotent","timeoutMs":%[2]d,"targetLatencyMs":200,"priority":0,"backend":"plain","maxAttempts":2},
{"name":"s","hostname":"h.example","pathPrefix":"/s/","kind":"streaming","timeoutMs":%[2]d,"targetLatencyMs":200,"priority":0,"backend":"model","maxAttempts":2,"gap_aim_ms":400},
{"name":"r","hostname":"h.example","pathPrefix":"/r/","kind":"streaming","timeoutMs":%[2]d,"targetLatencyMs":200,"priority":0,"backend":"model","maxAttempts":2,"resumable":true,"gap_aim_ms":400},
{"name":"t","hostname":"h.example","pathPrefix":"/t/","kind":"streaming","timeoutMs":%[2]d,"targetLatencyMs":200,"priority":0,"backend":"model","maxAttempts":2,"retained":true,"retentionS":60.0,"sessionAffinity":true,"gap_aim_ms":400}],
"services":[{"name":"plain","healthPath":"/healthz","maxConnections":96},
{"name":"model","healthPath":"/healthz","maxConnections":96,"engine":{"slots":8,"kvTokens":1000,"stride":3,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":4096,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// testProxy is a proxy on the loopback.
type testProxy struct {
	t          *testing.T
	proxy      *Proxy
	server     *clientServer
	turnStores *fakeTurnStores
	address    string
}

// newTestProxy makes a proxy that knows these stores of the services plain and model. Requests have this time at most.
func newTestProxy(t *testing.T, timeout time.Duration, plain, model []*fakeStore) *testProxy {
	b := &testProxy{t: t, turnStores: newFakeTurnStores()}
	b.proxy = New(hclog.NewNullLogger(), "z", watch.NewState())
	b.proxy.turns, b.proxy.budgets = b.turnStores, b.turnStores
	b.configure(1, fmt.Sprintf(testConfiguration, 1, timeout.Milliseconds()))
	for _, store := range plain {
		b.proxy.state.Upsert(store.instance("plain"))
	}
	for _, store := range model {
		b.proxy.state.Upsert(store.instance("model"))
	}
	b.proxy.applyState()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	b.address = listener.Addr().String()
	b.server = newClientServer(b.proxy, listener.(*net.TCPListener))
	go b.server.serve()
	t.Cleanup(func() {
		b.server.close()
		b.proxy.pools.Close()
	})
	return b
}

func (b *testProxy) configure(version uint64, body string) {
	b.proxy.state.SetControl(&tierpb.ControlState{
		Version: version, Configuration: &tierpb.Configuration{Generation: version, Body: []byte(body)},
	})
	b.proxy.applyState()
}

// clientResponse is what a client got.
type clientResponse struct {
	status int
	header http.Header
	body   string
	err    error // of the body
	raw    *http.Response
}

// send sends a request on a connection of its own and reads the whole answer.
func (b *testProxy) send(method, path, id, body string, fields ...string) clientResponse {
	connection, err := net.Dial("tcp4", b.address)
	assert.NilError(b.t, err)
	defer connection.Close()
	return b.sendOn(connection, method, path, id, body, fields...)
}

func (b *testProxy) sendOn(connection net.Conn, method, path, id, body string, fields ...string) clientResponse {
	assert.NilError(b.t, connection.SetDeadline(time.Now().Add(testTimeout)))
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
	assert.NilError(b.t, err)
	return readResponse(bufio.NewReader(connection), method)
}

func readResponse(reader *bufio.Reader, method string) clientResponse {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return clientResponse{err: err}
	}
	read, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(read), err: err, raw: response}
}

// openConnections is how many clients' connections are open.
func (f *clientServer) openConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.connections)
}
