package upstream

import (
	"bytes"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Header names, in canonical form.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderExpectInstance = "X-Expect-Instance"
	HeaderLastEventID    = "Last-Event-Id"
	HeaderExpectVersion  = "Expect-Version"
)

// hopByHop are the headers that apply to one connection only (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// EndToEnd reports whether a header is end-to-end, that is, forwarded. Connection is the value of the Connection header of the
// same message. The name must be in canonical form.
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

// isWrittenSeparately reports whether writeHead sets the header itself, instead of forwarding the client's.
func isWrittenSeparately(name string, request *Request) bool {
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

// writeHead writes the request line and the headers. Remaining is the time until the request's deadline.
func writeHead(into *bytes.Buffer, store Store, request *Request, remaining time.Duration) {
	into.WriteString(request.Method)
	into.WriteByte(' ')
	into.WriteString(request.URI)
	into.WriteString(" HTTP/1.1\r\n")
	writeField(into, "Host", request.Host)
	writeField(into, HeaderRequestID, request.ID)
	writeField(into, HeaderExpectInstance, store.Instance)
	writeField(into, HeaderDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if request.LastEventID != "" {
		writeField(into, HeaderLastEventID, request.LastEventID)
	}
	if request.ExpectVersion != "" {
		writeField(into, HeaderExpectVersion, request.ExpectVersion)
	}
	if length := bodyLength(request.Body); length > 0 || request.HasBody {
		writeField(into, "Content-Length", strconv.Itoa(length))
	}
	writeForwarded(into, request)
	into.WriteString("\r\n")
}

// writeForwarded writes those of the client's headers that are forwarded.
func writeForwarded(into *bytes.Buffer, request *Request) {
	connection := request.Header["Connection"]
	for name, values := range request.Header {
		if isWrittenSeparately(name, request) || !EndToEnd(name, connection) {
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
	for _, chunk := range body {
		length += len(chunk)
	}
	return length
}
