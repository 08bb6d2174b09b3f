package upstream

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

var errHeadTooLarge = eris.New("head of an answer is too large")

// source reads from a store's socket, at most so much while the head of an answer is expected.
type source struct {
	socket  net.Conn
	limited bool
	left    int
}

func (s *source) limit(most int) { s.limited, s.left = true, most }
func (s *source) unlimit()       { s.limited = false }

// heardNothing says whether not a byte came of the last head that was expected.
func (s *source) heardNothing() bool { return s.left == largestHead }

// Read reads from the socket.
func (s *source) Read(into []byte) (int, error) {
	if !s.limited {
		return s.socket.Read(into)
	}
	if s.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := s.socket.Read(into[:min(len(into), s.left)])
	s.left -= n
	return n, err
}

// isSpliced says whether a head holds a second status line, in its first line or in a header: the head of an answer has then
// been taken for the rest of another one that was cut there.
func isSpliced(response *http.Response) bool {
	if holdsStatusLine(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, holdsStatusLine) {
			return true
		}
	}
	return false
}

func holdsStatusLine(text string) bool {
	_, rest, found := strings.Cut(text, "HTTP/1.")
	return found && isStatus(rest)
}

// isStatus says whether what follows HTTP/1. is the rest of a status line: a digit, a space and a status.
func isStatus(rest string) bool {
	const length = len("1 200")
	if len(rest) < length || rest[1] != ' ' {
		return false
	}
	for _, digit := range rest[2:length] {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return len(rest) == length || rest[length] == ' '
}
