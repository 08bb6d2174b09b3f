package upstream

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Names of headers, in canonical form.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderExpectInstance = "X-Expect-Instance"
	HeaderLastEventID    = "Last-Event-Id"
	HeaderExpectVersion  = "Expect-Version"
)

// hopByHop are the headers that concern one connection only, and Host and Content-Length, which are written apart.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// EndToEnd says whether a header is passed on, given the Connection header that came with it. The name is canonical.
func EndToEnd(name string, connection []string) bool {
	if hopByHop[name] {
		return false
	}
	for _, line := range connection {
		for token := range strings.SplitSeq(line, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token)) == name {
				return false
			}
		}
	}
	return true
}

// writtenApart are the headers that appendHead sets itself.
func writtenApart(name string, request *Request) bool {
	switch name {
	case "Host", "Content-Length", HeaderDeadline, HeaderExpectInstance, HeaderRequestID:
		return true
	case HeaderLastEventID:
		return request.LastEventID != ""
	case HeaderExpectVersion:
		return request.ExpectVersion != ""
	}
	return false
}

// writeHead writes the request line and the headers.
func writeHead(into *bytes.Buffer, store Store, request *Request, left time.Duration) {
	into.WriteString(request.Method)
	into.WriteByte(' ')
	into.WriteString(request.URI)
	into.WriteString(" HTTP/1.1\r\n")
	writeField(into, "Host", request.Host)
	writeField(into, HeaderRequestID, request.ID)
	writeField(into, HeaderExpectInstance, store.Instance)
	writeField(into, HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if request.LastEventID != "" {
		writeField(into, HeaderLastEventID, request.LastEventID)
	}
	if request.ExpectVersion != "" {
		writeField(into, HeaderExpectVersion, request.ExpectVersion)
	}
	if length := bodyLength(request.Body); length > 0 || request.HasBody {
		writeField(into, "Content-Length", strconv.Itoa(length))
	}
	writeOthers(into, request)
	into.WriteString("\r\n")
}

func writeOthers(into *bytes.Buffer, request *Request) {
	connection := request.Header["Connection"]
	for name, values := range request.Header {
		if writtenApart(name, request) || !EndToEnd(name, connection) {
			continue
		}
		for _, value := range values {
			writeField(into, name, value)
		}
	}
}

func writeField(into *bytes.Buffer, name, value string) {
	into.WriteString(name)
	into.WriteString(": ")
	into.WriteString(value)
	into.WriteString("\r\n")
}

func bodyLength(body [][]byte) int {
	length := 0
	for _, part := range body {
		length += len(part)
	}
	return length
}

// keepAlive is how long a store keeps an idle connection, by the Keep-Alive header; zero where it does not say.
func keepAlive(header http.Header) time.Duration {
	for _, line := range header["Keep-Alive"] {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}
