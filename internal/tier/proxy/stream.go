package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/ablation"
	"pulleygw.example/pulleygw/internal/tier/admission"
	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/upstream"
)

// maxEventBytes is the maximum size of the buffer for an event that is not complete yet.
const maxEventBytes = 4 << 20

var (
	errEventTooLarge       = eris.New("event exceeds the size limit")
	errReservationExceeded = eris.New("stream exceeds its reservation")
	errSequenceGap         = eris.New("resumed stream does not continue after the last forwarded event")
	errTruncatedEvent      = eris.New("stream ended within an event or before the first one")
)

// streamState tracks which part of a stream has been forwarded to the client.
type streamState struct {
	headWritten  bool
	events       uint64    // events with data
	firstEventAt time.Time // when the first event was forwarded
	lastID       string    // id of the last event forwarded
	idStep       int64     // difference between consecutive ids, once two are known
	resumed      bool      // the next event is the first from another store
	version      string    // version of the weights that generated the last event, if stores report it
}

// isStream reports whether a response is forwarded event by event.
func (x *exchange) isStream(response *upstream.Response) bool {
	if response.StatusCode != http.StatusOK {
		return false
	}
	return x.route.Kind == configuration.Streaming || strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// resume continues a partially forwarded stream with another store's response.
func (x *exchange) resume(ctx context.Context, grant *admission.Grant, response *upstream.Response) attemptOutcome {
	if !x.isStream(response) {
		x.lastErr = errInvalidResponse
		response.Abort()
		grant.Finish(outcomeOfStatus(response.StatusCode))
		return x.retryOrAbort()
	}
	x.stream.resumed = true
	return x.forwardStream(ctx, grant, response)
}

// forwardStream forwards the events of a response as they arrive. At the end of the stream it completes the turn.
func (x *exchange) forwardStream(ctx context.Context, grant *admission.Grant, response *upstream.Response) attemptOutcome {
	x.recordVersion(response)
	err := x.forwardEvents(grant, response)
	if err == nil {
		err = x.completeTurn(ctx)
	}
	if err == nil {
		invariant.Check(!x.turn.retained || x.turn.saved, invariant.PersistedBeforeEnd, "not saved", x.id)
		x.writeHead(response)
		response.Finish()
		grant.Finish(admission.Success)
		x.result = resultServed
		return attemptAnswered
	}
	x.lastErr = err
	response.Abort()
	grant.Finish(outcomeOfTruncation(ctx))
	if !x.mayResume(ctx, err) {
		if !x.stream.headWritten {
			return attemptRetry // nothing was forwarded yet; run decides whether to retry
		}
		return attemptAborted
	}
	x.outbound.LastEventID = x.stream.lastID
	if x.stream.headWritten {
		x.outbound.ExpectVersion = x.stream.version
	}
	return attemptRetry
}

// mayResume reports whether another store may continue the stream after err.
func (x *exchange) mayResume(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, errReservationExceeded) || errors.Is(err, errTurnNotSaved) || ablation.Disabled(ablation.StreamResumption) {
		return false
	}
	if x.stream.events > 0 && x.stream.lastID == "" {
		return false
	}
	return x.idempotent() && x.executions < x.route.MaxAttempts
}

// forwardEvents forwards events until the end of the response. Events that arrive together are written together.
func (x *exchange) forwardEvents(grant *admission.Grant, response *upstream.Response) error {
	buffer := responseBuffers.Get().(*[]byte)
	defer putResponseBuffer(buffer)
	buffered, firstByteReported := 0, false
	for {
		if buffered == len(*buffer) {
			if buffered >= maxEventBytes {
				return errEventTooLarge
			}
			*buffer = append(*buffer, make([]byte, len(*buffer))...)
		}
		read, err := response.Read((*buffer)[buffered:])
		buffered += read
		completeBytes, recordErr := x.recordEvents((*buffer)[:buffered])
		switch {
		case recordErr != nil || !errors.Is(err, io.EOF):
		case response.CloseDelimited && (completeBytes < buffered || x.stream.events == 0):
			recordErr = errTruncatedEvent
		default:
			completeBytes = buffered // forward the last bytes unchanged
		}
		if completeBytes > 0 {
			if !firstByteReported {
				firstByteReported = true
				grant.ReportFirstByte()
				x.recordFirstEvent()
			}
			x.forward(response, (*buffer)[:completeBytes])
		}
		if recordErr != nil {
			return recordErr
		}
		buffered = copy(*buffer, (*buffer)[completeBytes:buffered])
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// recordEvents records all complete events of the buffer and returns their length in bytes. If an event is invalid it
// returns an error and the length of the events before it.
func (x *exchange) recordEvents(from []byte) (int, error) {
	length := 0
	for {
		next, ok := nextEvent(from[length:])
		if !ok {
			return length, nil
		}
		if err := x.recordEvent(&next); err != nil {
			return length, err
		}
		length += len(next.raw)
	}
}

// recordEvent checks and records an event before it is forwarded.
func (x *exchange) recordEvent(next *event) error {
	if next.hasID {
		if err := x.stream.advance(string(next.id)); err != nil {
			return err
		}
	}
	if len(next.version) > 0 {
		x.stream.version = string(next.version)
	}
	if !next.hasData {
		return nil
	}
	if x.turn.budgeted && x.stream.events >= x.turn.maxEvents {
		return errReservationExceeded
	}
	x.stream.events++
	invariant.Check(!x.turn.budgeted || x.stream.events <= x.turn.maxEvents, invariant.WithinAllowance, x.stream.events, x.turn.maxEvents)
	if x.turn.retained {
		x.turn.output = append(x.turn.output, next.data...)
		x.turn.output = append(x.turn.output, '\n')
	}
	return nil
}

// advance sets lastID to the id of the next event. For the first event of a resumed stream it checks that the id directly
// follows lastID.
func (s *streamState) advance(id string) error {
	last, lastErr := strconv.ParseInt(s.lastID, 10, 64)
	next, nextErr := strconv.ParseInt(id, 10, 64)
	numeric := lastErr == nil && nextErr == nil
	if s.resumed && s.lastID != "" && (!numeric || next != last+max(1, s.idStep)) {
		return errSequenceGap
	}
	if numeric {
		s.idStep = next - last
	}
	s.resumed = false
	s.lastID = id
	return nil
}

// writeHead writes the status and headers of the response unless those of an earlier store were already written.
func (x *exchange) writeHead(response *upstream.Response) {
	if x.stream.headWritten {
		return
	}
	x.stream.headWritten = true
	x.copyHeader(x.w.Header(), response.Header)
	x.w.WriteHeader(response.StatusCode)
}

// recordVersion records the weights version in the head of a response, unless events were already forwarded. Events tell
// where the version changes (recordEvent). A stream is resumed only at a store with the version of its last event.
func (x *exchange) recordVersion(response *upstream.Response) {
	if x.stream.events == 0 {
		x.stream.version = response.Header.Get(headerVersions)
	}
}

// forward writes events to the client and flushes them.
func (x *exchange) forward(response *upstream.Response, events []byte) {
	x.writeHead(response)
	_, _ = x.w.Write(events)
	_ = x.control.Flush()
}
