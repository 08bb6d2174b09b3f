package upstream

import (
	"net/http"
	"slices"
	"strings"
)

// readHead reads the head of the final response and skips informational (1xx) responses.
func (c *connection) readHead(request *Request) (*Response, *SendError) {
	forMethod := &http.Request{Method: request.Method} // ReadResponse needs the method to tell whether there is a body
	c.headReader.limit(maxHeadBytes)
	defer c.headReader.unlimit()
	for {
		response, err := http.ReadResponse(c.reader, forMethod)
		if err != nil {
			return nil, sent(reasonOf(err))
		}
		if isSpliced(response) {
			return nil, sent(ErrMismatched)
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		return c.newResponse(request, response)
	}
}

// newResponse returns the Response for a parsed head, after checking that it belongs to the request.
func (c *connection) newResponse(request *Request, response *http.Response) (*Response, *SendError) {
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

// isSpliced reports whether a head contains a second status line, in its own status line or in a header. The beginning of an
// interrupted response has then been joined with the head of the next one.
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

// isStatusLineRest reports whether the text after "HTTP/1." continues a status line: a digit, a space and a status code.
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
