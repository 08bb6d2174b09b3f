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

// patienceOfTests bounds waits of tests, so that a mistake ends them; no test goes by it.
const patienceOfTests = 20 * time.Second

// received is one request as a stand-in store got it.
type received struct {
	store   string
	method  string
	uri     string
	header  http.Header
	body    string
	request *http.Request
}

// script answers a request on a raw connection and says whether the connection may be used again.
type script func(connection net.Conn, got received) bool

// standIn is a store on the loopback that answers by a script.
type standIn struct {
	t        *testing.T
	id       string
	listener net.Listener
	mu       sync.Mutex
	script   script
	got      []received
	dialed   int
}

func newStandIn(t *testing.T, id string, answer script) *standIn {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &standIn{t: t, id: id, listener: listener, script: answer}
	t.Cleanup(func() { listener.Close() })
	go s.accept()
	return s
}

func (s *standIn) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.dialed++
		s.mu.Unlock()
		go s.serve(connection)
	}
}

func (s *standIn) serve(connection net.Conn) {
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
		got := received{store: s.id, method: request.Method, uri: request.RequestURI, header: request.Header, body: string(body), request: request}
		s.mu.Lock()
		s.got = append(s.got, got)
		answer := s.script
		s.mu.Unlock()
		if !answer(connection, got) {
			return
		}
	}
}

func (s *standIn) requests() []received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]received(nil), s.got...)
}

func (s *standIn) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dialed
}

func (s *standIn) instance(backend string) *tierpb.Instance {
	return &tierpb.Instance{Id: s.id, Backend: backend, Address: s.listener.Addr().String(), Slots: 8, Sequence: 1}
}

// head begins an answer that carries the request's id.
func head(got received, status int, fields ...string) string {
	lines := []string{fmt.Sprintf("HTTP/1.1 %d Any", status), "X-Request-Id: " + got.header.Get("X-Request-Id")}
	if status < 300 {
		lines = append(lines, "X-Response-Signature: stamp-"+got.store)
	}
	return strings.Join(append(lines, fields...), "\r\n") + "\r\n"
}

// whole answers with a body and a length.
func whole(status int, body string, fields ...string) script {
	return func(connection net.Conn, got received) bool {
		fmt.Fprintf(connection, "%sContent-Length: %d\r\n\r\n%s", head(got, status, fields...), len(body), body)
		return true
	}
}

// cut closes the connection after these bytes; HEAD is replaced by the head of a success without its end.
func cut(bytes string) script {
	return func(connection net.Conn, got received) bool {
		io.WriteString(connection, strings.ReplaceAll(bytes, "HEAD", head(got, 200)))
		return false
	}
}

// reset is cut with a reset of the connection in place of its orderly end.
func reset(bytes string) script {
	return func(connection net.Conn, got received) bool {
		cut(bytes)(connection, got)
		_ = connection.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// events answers with a stream of these events in chunks, complete or broken off.
func events(complete bool, list ...string) script {
	return func(connection net.Conn, got received) bool {
		io.WriteString(connection, head(got, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")+"\r\n")
		for _, one := range list {
			fmt.Fprintf(connection, "%x\r\n%s\r\n", len(one), one)
		}
		if complete {
			io.WriteString(connection, "0\r\n\r\n")
		}
		return complete
	}
}

func numbered(first, last int) []string {
	var list []string
	for i := first; i <= last; i++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i))
	}
	return list
}

// inTurn runs one script after the other, and the last from then on.
func inTurn(scripts ...script) script {
	var mu sync.Mutex
	next := 0
	return func(connection net.Conn, got received) bool {
		mu.Lock()
		chosen := scripts[min(next, len(scripts)-1)]
		next++
		mu.Unlock()
		return chosen(connection, got)
	}
}

// keeper keeps turns and budgets in memory.
type keeper struct {
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

func newKeeper() *keeper {
	return &keeper{
		records: map[string]*tierpb.TurnRecord{}, reserved: map[string]uint64{},
		settled: map[string]uint64{}, withdrawn: map[string]bool{},
	}
}

func (k *keeper) Ready() bool { return true }

func (k *keeper) Chain(ctx context.Context, id string) ([]*tierpb.TurnRecord, error) {
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

func (k *keeper) Save(ctx context.Context, record *tierpb.TurnRecord) error {
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

func (k *keeper) Reserve(ctx context.Context, _ string, _ uint64, request string, most uint64) error {
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

func (k *keeper) Wait() {
	if k.onWait != nil {
		k.onWait()
	}
}

func (k *keeper) Settle(_, request string, used uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.settled[request] = used
}

func (k *keeper) Withdraw(_, request string) {
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

// bench is a proxy on the loopback.
type bench struct {
	t      *testing.T
	proxy  *Proxy
	front  *front
	keeper *keeper
	addr   string
}

// newBench makes a proxy that knows these stores of the services plain and model. Requests have this time at most.
func newBench(t *testing.T, timeout time.Duration, plain, model []*standIn) *bench {
	b := &bench{t: t, keeper: newKeeper()}
	b.proxy = New(hclog.NewNullLogger(), "z", watch.NewState())
	b.proxy.turns, b.proxy.budgets = b.keeper, b.keeper
	b.configure(1, fmt.Sprintf(testConfiguration, 1, timeout.Milliseconds()))
	for _, store := range plain {
		b.proxy.state.Upsert(store.instance("plain"))
	}
	for _, store := range model {
		b.proxy.state.Upsert(store.instance("model"))
	}
	b.proxy.refresh()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	b.addr = listener.Addr().String()
	b.front = newFront(b.proxy, listener.(*net.TCPListener))
	go b.front.serve()
	t.Cleanup(func() {
		b.front.close()
		b.proxy.pools.Close()
	})
	return b
}

func (b *bench) configure(version uint64, body string) {
	b.proxy.state.SetControl(&tierpb.ControlState{
		Version: version, Configuration: &tierpb.Configuration{Generation: version, Body: []byte(body)},
	})
	b.proxy.refresh()
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of the body
	raw    *http.Response
}

// send sends a request on a connection of its own and reads the whole answer.
func (b *bench) send(method, path, id, body string, fields ...string) answer {
	connection, err := net.Dial("tcp4", b.addr)
	assert.NilError(b.t, err)
	defer connection.Close()
	return b.sendOn(connection, method, path, id, body, fields...)
}

func (b *bench) sendOn(connection net.Conn, method, path, id, body string, fields ...string) answer {
	assert.NilError(b.t, connection.SetDeadline(time.Now().Add(patienceOfTests)))
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
	return readAnswer(bufio.NewReader(connection), method)
}

func readAnswer(reader *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	read, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(read), err: err, raw: response}
}

// countOpen is how many clients' connections are open.
func (f *front) countOpen() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}
