package upstream

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEndToEnd(t *testing.T) {
	connection := []string{"close, x-one", "X-Two"}
	for name, forwarded := range map[string]bool{
		"Connection": false, "Keep-Alive": false, "Transfer-Encoding": false, "X-One": false, "X-Two": false,
		"X-Three": true, "Previous": true,
	} {
		assert.Equal(t, EndToEnd(name, connection), forwarded, name)
	}
}

func TestWriteHead(t *testing.T) {
	var head bytes.Buffer
	request := &Request{
		Method: "POST", URI: "/a//b?c=%20", Host: "h.example", ID: "id", LastEventID: "7", HasBody: true,
		Header: http.Header{
			"X-Deadline-Ms": {"9"}, "X-Request-Id": {"id"}, "Last-Event-Id": {"1"}, "X-Expect-Instance": {"forged"},
			"Content-Length": {"99"}, "X-Any": {"v"},
		},
		Body: [][]byte{[]byte("ab"), []byte("c")},
	}
	writeHead(&head, Store{Instance: "i-1"}, request, 1500*time.Millisecond)
	lines := strings.Split(head.String(), "\r\n")
	assert.DeepEqual(t, lines, []string{
		"POST /a//b?c=%20 HTTP/1.1", "Host: h.example", "X-Request-Id: id", "X-Expect-Instance: i-1", "X-Deadline-Ms: 1500",
		"Last-Event-Id: 7", "Content-Length: 3", "X-Any: v", "", "",
	})
}
