package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/ablation"
	"pulleygw.example/pulleygw/internal/tier/admission"
	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/upstream"
)

// maxEventBytes bounds what is held of an event that has not come whole.
const maxEventBytes = 4 << 20

var (
	errEventTooLarge       = eris.New("event is too large")
	errReservationExceeded = eris.New("more events than were reserved")
	errSequenceGap         = eris.New("events do not go on where the last store broke off")
	errTruncatedEvent      = eris.New("connection ended within an event or before the first")
)

// streamState is what has been passed on of a stream.
type streamState struct {
	headWritten bool
	events      uint64
	lastID      string // of the last event passed on
	step        int64  // between ids, where two are known
	resumed     bool   // the next event is the first of another store
	version     string // of the weights that made the last event, where the stores tell it
}

// isStream says whether an answer is to be passed on event by event.
func (x *exchange) isStream(answer *upstream.Response) bool {
	if answer.StatusCode != http.StatusOK {
		return false
	}
	return x.route.Kind == configuration.Streaming || strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
}

// resume goes on with a stream at another store, inside the answer that has begun.
func (x *exchange) resume(ctx context.Context, granted *admission.Grant, answer *upstream.Response) attemptOutcome {
	if !x.isStream(answer) {
		x.lastErr = errInvalidResponse
		answer.Abort()
		granted.Finish(outcomeOfStatus(answer.StatusCode))
		return x.retryOrAbort()
	}
	x.stream.resumed = true
	return x.forwardStream(ctx, granted, answer)
}

// forwardStream passes the events of an answer on as they come.
func (x *exchange) forwardStream(ctx context.Context, granted *admission.Grant, answer *upstream.Response) attemptOutcome {
	x.recordVersion(answer)
	err := x.forwardEvents(granted, answer)
	if err == nil {
		err = x.completeTurn(ctx)
	}
	if err == nil {
		invariant.Check(!x.turn.retained || x.turn.saved, invariant.PersistedBeforeEnd, "not saved", x.id)
		x.writeHead(answer)
		answer.Finish()
		granted.Finish(admission.Success)
		x.result = resultServed
		return attemptAnswered
	}
	x.lastErr = err
	answer.Abort()
	granted.Finish(outcomeOfBreak(ctx))
	if !x.mayResume(ctx, err) {
		if !x.stream.headWritten {
			return attemptRetry // nothing was passed on
		}
		return attemptAborted
	}
	x.outbound.LastEventID = x.stream.lastID
	if x.stream.headWritten {
		x.outbound.ExpectVersion = x.stream.version
	}
	return attemptRetry
}

// mayResume says whether another store may take the stream up after this error.
func (x *exchange) mayResume(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, errReservationExceeded) || errors.Is(err, errTurnNotSaved) || ablation.Disabled(ablation.StreamResumption) {
		return false
	}
	if x.stream.events > 0 && x.stream.lastID == "" {
		return false
	}
	return x.idempotent() && x.executions < x.route.MaxAttempts
}

// forwardEvents reads events until the end of the answer. Those that have come together go out together.
func (x *exchange) forwardEvents(granted *admission.Grant, answer *upstream.Response) error {
	buffer := responseBuffers.Get().(*[]byte)
	defer putResponseBuffer(buffer)
	held, heard := 0, false
	for {
		if held == len(*buffer) {
			if held >= maxEventBytes {
				return errEventTooLarge
			}
			*buffer = append(*buffer, make([]byte, len(*buffer))...)
		}
		read, err := answer.Read((*buffer)[held:])
		held += read
		passed, failure := x.recordEvents((*buffer)[:held])
		switch {
		case failure != nil || !errors.Is(err, io.EOF):
		case answer.CloseDelimited && (passed < held || x.stream.events == 0):
			failure = errTruncatedEvent
		default:
			passed = held // the end of the body comes as the store sent it
		}
		if passed > 0 {
			if !heard {
				heard = true
				granted.ReportFirstByte()
			}
			x.forward(answer, (*buffer)[:passed])
		}
		if failure != nil {
			return failure
		}
		held = copy(*buffer, (*buffer)[passed:held])
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// recordEvents notes all whole events and returns their length; after an error, that of those before it.
func (x *exchange) recordEvents(from []byte) (int, error) {
	length := 0
	for {
		next, whole := nextEvent(from[length:])
		if !whole {
			return length, nil
		}
		if err := x.recordEvent(&next); err != nil {
			return length, err
		}
		length += len(next.raw)
	}
}

// recordEvent counts an event that is about to be passed on.
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

// advance checks that the first event of another store goes on at the last one passed on.
func (s *streamState) advance(id string) error {
	last, lastErr := strconv.ParseInt(s.lastID, 10, 64)
	next, nextErr := strconv.ParseInt(id, 10, 64)
	numbered := lastErr == nil && nextErr == nil
	if s.resumed && s.lastID != "" && (!numbered || next != last+max(1, s.step)) {
		return errSequenceGap
	}
	if numbered {
		s.step = next - last
	}
	s.resumed = false
	s.lastID = id
	return nil
}

// writeHead writes the head of the first store, once.
func (x *exchange) writeHead(answer *upstream.Response) {
	if x.stream.headWritten {
		return
	}
	x.stream.headWritten = true
	x.copyHeader(x.w.Header(), answer.Header)
	x.w.WriteHeader(answer.StatusCode)
}

// recordVersion notes the version that an answer begins with. A stream goes on with it, or with that of a later event: the
// events of one answer come from the same weights, or say where these change.
func (x *exchange) recordVersion(answer *upstream.Response) {
	if x.stream.events == 0 {
		x.stream.version = answer.Header.Get(headerVersions)
	}
}

func (x *exchange) forward(answer *upstream.Response, events []byte) {
	x.writeHead(answer)
	_, _ = x.w.Write(events)
	_ = x.control.Flush()
}
