package upstream

import (
	"net/http"
	"slices"
	"strings"
)

// readHead reads the head of the response, past informational ones.
func (c *connection) readHead(request *Request) (*Response, *SendError) {
	asked := &http.Request{Method: request.Method}
	c.headReader.limit(maxHeadBytes)
	defer c.headReader.unlimit()
	for {
		response, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, sent(reasonOf(err))
		}
		if isSpliced(response) {
			return nil, sent(ErrMismatched)
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		return c.accept(request, response)
	}
}

// accept checks that a response is the request's own.
func (c *connection) accept(request *Request, response *http.Response) (*Response, *SendError) {
	if ids := response.Header[HeaderRequestID]; len(ids) != 1 || ids[0] != request.ID {
		return nil, sent(ErrMismatched)
	}
	if response.StatusCode < 200 {
		return nil, sent(ErrConnectionLost)
	}
	chunked := len(response.TransferEncoding) == 1 && response.TransferEncoding[0] == "chunked"
	return &Response{
		StatusCode: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength,
		CloseDelimited: response.ContentLength < 0 && !chunked && response.Body != http.NoBody,
		connection:     c, body: response.Body, closing: response.Close,
		readIdleTimeout: request.ReadIdleTimeout, deadline: request.Deadline,
	}, nil
}

// isSpliced reports whether a head holds a second status line, in its first line or in a header: the head of a response has
// then been taken for the rest of another one that was interrupted there.
func isSpliced(response *http.Response) bool {
	if containsStatusLine(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, containsStatusLine) {
			return true
		}
	}
	return false
}

func containsStatusLine(text string) bool {
	_, rest, found := strings.Cut(text, "HTTP/1.")
	return found && isStatusLineRest(rest)
}

// isStatusLineRest reports whether what follows HTTP/1. is the rest of a status line: a digit, a space and a status code.
func isStatusLineRest(rest string) bool {
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
