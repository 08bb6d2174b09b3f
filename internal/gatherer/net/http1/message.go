// Package http1 implements HTTP/1.1 on net/textproto: messages, a server for the fronts, and a client. Unlike net/http, the
// server can leave its listener to a successor, close connections by load, and tell a front that its client has gone.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/textproto"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/limits"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
)

// Bounds of what a peer may send, in bytes.
const (
	MaxBody = 64 << 10
	maxHead = 16 << 10
	ahead   = 4 << 10 // that the buffered reader may read beyond the end of a message
)

// Error is an invalid message, with the status of the response to it.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return e.Reason }

func bad(reason string) error { return &Error{400, reason} }

var errTooSlow = &Error{408, "the request did not come whole in time"}

var errBodies = &Error{503, "too many large requests at once"}

var errTooLarge = &Error{413, fmt.Sprintf("the body is over %d bytes", MaxBody)}

// Request is a request as received.
type Request struct {
	Method, Path, Query string
	Header              textproto.MIMEHeader
	Body                []byte // valid until Release
	Close               bool   // the connection is closed after this exchange
	At                  time.Time
	Client              netip.Addr // address of the client
	buf                 *[mem.BufferSize]byte
	bodies              chan struct{}
}

// Release returns the body's buffer. A front calls it as soon as it has parsed the body.
func (r *Request) Release() {
	if r == nil {
		return
	}
	if r.buf != nil && r.bodies != nil {
		<-r.bodies
	}
	release(&r.buf, &r.Body)
}

// Origin is what routes are matched against. Its header outlives the body.
func (r *Request) Origin(front, index string) *limits.Request {
	return &limits.Request{Front: front, Method: r.Method, Index: index, Client: r.Client, Header: r.Header.Get}
}

// Response is a response, to be written or as received.
type Response struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
	Close  bool
	buf    *[mem.BufferSize]byte
}

// Release returns the body's buffer.
func (r *Response) Release() { release(&r.buf, &r.Body) }

func release(buf **[mem.BufferSize]byte, body *[]byte) {
	if *buf != nil {
		mem.PutBuffer(*buf)
		*buf, *body = nil, nil
	}
}

// Reader reads messages from a connection.
type Reader struct {
	// Continue, where set, is called for a client that expects 100 Continue.
	Continue func()
	// Bodies, where set, has one slot for each body that may be held in memory.
	Bodies chan struct{}
	// MaxBody, where above the constant of that name, is the longest body accepted, in bytes. A body longer than a pooled
	// buffer has its own, which grows as it is received, as the stated length may be wrong.
	MaxBody int

	lim limited
	br  *bufio.Reader
	tp  *textproto.Reader
}

// NewReader returns a reader.
func NewReader(r io.Reader) *Reader {
	x := &Reader{lim: limited{r: r}}
	x.br = bufio.NewReaderSize(&x.lim, ahead)
	x.tp = textproto.NewReader(x.br)
	return x
}

// limited bounds the bytes read for one message, as textproto has no bound on a line.
type limited struct {
	r    io.Reader
	n    int
	late bool // the read deadline passed within a message: textproto takes a partial line for a complete one
}

var errHead = &Error{431, fmt.Sprintf("the head is over %d bytes", maxHead)}

func (l *limited) Read(b []byte) (int, error) {
	if l.n <= 0 {
		return 0, errHead
	}
	n, err := l.r.Read(b[:min(len(b), l.n)])
	l.n -= n
	l.late = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// Await waits until a message begins. An error is the connection's.
func (r *Reader) Await() error {
	r.lim.n = maxHead + ahead
	_, err := r.br.Peek(1)
	return err
}

// More waits until more is received than is buffered. The error is bufio.ErrBufferFull when the buffer is full.
func (r *Reader) More() error {
	r.lim.n = ahead
	_, err := r.br.Peek(r.br.Buffered() + 1)
	return err
}

// Request reads one request. Errors of type *Error are the peer's fault and can be answered.
func (r *Reader) Request() (*Request, error) {
	r.lim.n = maxHead + ahead
	line, err := r.tp.ReadLine()
	if err != nil {
		return nil, err
	}
	q := &Request{bodies: r.Bodies}
	var target, proto string
	var ok1, ok2 bool
	q.Method, target, ok1 = strings.Cut(line, " ")
	target, proto, ok2 = strings.Cut(target, " ")
	switch {
	case !ok1 || !ok2 || !isToken(q.Method) || !strings.HasPrefix(target, "/"):
		return nil, bad("the request line is malformed")
	case proto != "HTTP/1.1" && proto != "HTTP/1.0":
		return nil, &Error{505, "only HTTP/1.1 is spoken here"}
	}
	q.Path, q.Query, _ = strings.Cut(target, "?")
	if q.Header, err = r.header(); err != nil {
		return nil, err
	}
	q.Close = closes(q.Header, proto)
	if r.Continue != nil && strings.EqualFold(q.Header.Get("Expect"), "100-continue") {
		r.Continue()
	}
	q.buf, q.Body, err = r.body(q.Header)
	if err != nil {
		return nil, err
	}
	q.At = time.Now()
	return q, nil
}

// Response reads one response.
func (r *Reader) Response() (*Response, error) {
	r.lim.n = maxHead + ahead
	line, err := r.tp.ReadLine()
	if err != nil {
		return nil, err
	}
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 200 || proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return nil, bad("the status line is malformed")
	}
	p := &Response{Status: status}
	if p.Header, err = r.header(); err != nil {
		return nil, err
	}
	p.Close = closes(p.Header, proto)
	switch {
	case status == 204 || status == 304:
	case len(p.Header["Content-Length"])+len(p.Header["Transfer-Encoding"]) == 0:
		p.Close = true
		p.Body, err = r.bodyToEOF()
	default:
		p.buf, p.Body, err = r.body(p.Header)
	}
	return p, err
}

func (r *Reader) header() (textproto.MIMEHeader, error) {
	h, err := r.tp.ReadMIMEHeader()
	var proto textproto.ProtocolError
	if errors.As(err, &proto) {
		return nil, bad("the header is malformed")
	}
	return h, err
}

func closes(h textproto.MIMEHeader, proto string) bool {
	c := strings.ToLower(h.Get("Connection"))
	return strings.Contains(c, "close") || proto == "HTTP/1.0" && !strings.Contains(c, "keep-alive")
}

// bodyToEOF reads a body that ends with its connection. Only the peer's close ends it: a connection that breaks may have
// delivered a part of it.
func (r *Reader) bodyToEOF() ([]byte, error) {
	r.lim.n = r.maxBody() + ahead
	body, err := io.ReadAll(io.LimitReader(r.br, int64(r.maxBody())+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > r.maxBody():
		return nil, errTooLarge
	}
	return body, nil
}

// body reads a body with a Content-Length or in chunks into a pooled buffer.
func (r *Reader) body(h textproto.MIMEHeader) (buf *[mem.BufferSize]byte, body []byte, err error) {
	lengths, codings := h["Content-Length"], h["Transfer-Encoding"]
	switch {
	case len(codings) > 0 && len(lengths) > 0:
		return nil, nil, bad("both Content-Length and Transfer-Encoding")
	case len(codings) > 1 || len(codings) == 1 && !strings.EqualFold(codings[0], "chunked"):
		return nil, nil, &Error{501, "the only transfer coding known here is chunked"}
	case len(codings) == 0 && len(lengths) == 0:
		return nil, nil, nil
	}
	n := 0
	if len(codings) == 0 {
		if n, err = length(lengths, r.maxBody()); err != nil {
			return nil, nil, err
		}
		if n > MaxBody {
			r.lim.n = n + ahead
			var b bytes.Buffer
			_, err := io.CopyN(&b, r.br, int64(n))
			return nil, b.Bytes(), err
		}
		// Hundreds of clients that announce a body and send none must not hold a buffer each.
		r.lim.n = n + ahead
		if _, err := r.br.Peek(min(n, ahead)); err != nil {
			return nil, nil, err
		}
	}
	select {
	case r.Bodies <- struct{}{}:
	default:
		if r.Bodies != nil {
			return nil, nil, errBodies
		}
	}
	buf = mem.GetBuffer()
	defer func() {
		if err != nil {
			(&Request{buf: buf, bodies: r.Bodies}).Release()
			buf, body = nil, nil
		}
	}()
	if len(codings) == 1 {
		body, err = r.chunkedBody(buf[:0])
		return buf, body, err
	}
	body = buf[:n]
	_, err = io.ReadFull(r.br, body)
	return buf, body, err
}

// maxBody is the longest body accepted, in bytes.
func (r *Reader) maxBody() int { return max(r.MaxBody, MaxBody) }

// length parses a Content-Length.
func length(values []string, limit int) (int, error) {
	for _, v := range values {
		if v != values[0] {
			return 0, bad("Content-Length is given twice")
		}
	}
	v := strings.TrimSpace(values[0])
	if v == "" || strings.Trim(v, "0123456789") != "" {
		return 0, bad("Content-Length is not a number")
	}
	n, err := strconv.Atoi(v)
	if err != nil || n > limit {
		return 0, errTooLarge
	}
	return n, nil
}

// chunkedBody reads a chunked body and drops its trailer.
func (r *Reader) chunkedBody(body []byte) ([]byte, error) {
	for {
		r.lim.n = maxHead + ahead
		line, err := r.tp.ReadLine()
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		switch {
		case errors.Is(err, strconv.ErrRange):
			return nil, errTooLarge
		case err != nil:
			return nil, bad("a chunk's size is malformed")
		case int(n) > r.maxBody()-len(body):
			return nil, errTooLarge
		case n == 0:
			_, err := r.header()
			return body, err
		}
		r.lim.n = int(n) + 2 + ahead
		for left := int(n); left > 0; { // in pieces, as the stated size may be wrong
			at, piece := len(body), min(left, MaxBody)
			body = slices.Grow(body, piece)[:at+piece]
			if _, err := io.ReadFull(r.br, body[at:]); err != nil {
				return nil, err
			}
			left -= piece
		}
		var end [2]byte
		if _, err := io.ReadFull(r.br, end[:]); err != nil {
			return nil, err
		}
		if !bytes.Equal(end[:], []byte("\r\n")) {
			return nil, bad("a chunk does not end where it should")
		}
	}
}

func isToken(s string) bool {
	return s != "" && strings.Trim(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
}

// IsName reports whether s is an id that every protocol can carry unchanged.
func IsName(s string) bool {
	return s != "" && len(s) <= 128 && !strings.ContainsFunc(s, func(c rune) bool {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		return !letter && (c < '0' || c > '9') && c != '-' && c != '_'
	})
}

// reasons are the reason phrases of the statuses used here; others have none.
var reasons = map[int]string{200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

// AppendResponse appends the encoded response.
func AppendResponse(b []byte, p *Response) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\n", p.Status, reasons[p.Status])
	b = appendHeader(b, p.Header, p.Close)
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(p.Body))
	return append(b, p.Body...)
}

// AppendRequest appends an encoded request.
func AppendRequest(b []byte, method, target, host string, h textproto.MIMEHeader, body []byte) []byte {
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	b = appendHeader(b, h, false)
	if method != "GET" {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(body))
	}
	return append(append(b, "\r\n"...), body...)
}

func appendHeader(b []byte, h textproto.MIMEHeader, closing bool) []byte {
	for k, vs := range h {
		for _, v := range vs {
			b = fmt.Appendf(b, "%s: %s\r\n", k, v)
		}
	}
	if closing {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}
