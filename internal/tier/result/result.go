// Package result defines the result codes of the control API. They appear in the JSON bodies of error responses, and a code
// never changes its meaning. docs/result-codes.md lists them and is generated from the table in this package.
//
// A handler creates an Error with New or InField and sends it with Write. The code determines the HTTP status.
package result

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Code identifies a result. Codes are grouped by their thousands: 1 malformed requests, 2 configurations, 3 registrations of
// stores, 4 retirements of machines, 5 server-side failures.
type Code int

// Malformed requests.
const (
	UnknownPath     Code = 1001
	WrongMethod     Code = 1002
	UnreadableBody  Code = 1003
	BodyTooLarge    Code = 1004
	MalformedHeader Code = 1005
	BodyTooSlow     Code = 1006
)

// Configurations.
const (
	InvalidConfiguration Code = 2001
	VersionConflict      Code = 2002
	NoConfiguration      Code = 2003
)

// Registrations of stores.
const (
	InvalidInstance Code = 3001
)

// Retirements of machines.
const (
	UnknownMachine      Code = 4001
	TooFewMachines      Code = 4002
	InvalidRetirement   Code = 4003
	RetirementUnderWay  Code = 4004
	RetirementNotFound  Code = 4005
	MachineHasNoRecords Code = 4006
)

// Failures of the coordinator or the control plane. A change may have been committed or not; what the caller should do is the
// Action of the code, in most cases to retry the same request.
const (
	NoQuorum          Code = 5001
	Uncertain         Code = 5002
	NotReady          Code = 5003
	VersionTooOld     Code = 5004
	TooManyChanges    Code = 5005
	ShuttingDown      Code = 5006
	StorageFailed     Code = 5007
	InternalError     Code = 5008
	RepeatedConflicts Code = 5009
	FetchingChanges   Code = 5015
)

// Description explains a code.
type Description struct {
	Code    Code
	Name    string
	Status  int    // HTTP status
	Meaning string // what has happened
	Action  string // what the caller should do
}

// String returns the name of the code as it appears in JSON, or its number if the code is unknown.
func (c Code) String() string {
	described, ok := Describe(c)
	if !ok {
		return strconv.Itoa(int(c))
	}
	return described.Name
}

// Status returns the HTTP status of the code, or 500 if the code is unknown.
func (c Code) Status() int {
	described, ok := Describe(c)
	if !ok {
		return http.StatusInternalServerError
	}
	return described.Status
}

// Error is a result code with details about the request.
type Error struct {
	Code    Code
	Field   string // invalid header or field of the body, such as routes[3].backend; may be empty
	Message string // explanation; if empty, the Meaning of the code is sent
}

// New creates an Error. If the message is empty, the Meaning of the code is sent instead.
func New(code Code, message string) *Error { return &Error{Code: code, Message: message} }

// InField creates an Error about one field of the request.
func InField(code Code, field, message string) *Error {
	return &Error{Code: code, Field: field, Message: message}
}

// Error returns the name of the code, the field and the message, separated by colons; empty parts are left out.
func (e *Error) Error() string {
	text := e.Code.String()
	if e.Field != "" {
		text += ": " + e.Field
	}
	if e.Message != "" {
		text += ": " + e.Message
	}
	return text
}

// Body is the JSON body of an error response.
type Body struct {
	Code    Code   `json:"code"`
	Name    string `json:"name"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Write sends the status and the body of an error. Other headers, such as Retry-After, must be set before the call.
func Write(w http.ResponseWriter, e *Error) {
	described, _ := Describe(e.Code)
	body := Body{Code: e.Code, Name: e.Code.String(), Field: e.Field, Message: e.Message}
	if body.Message == "" {
		body.Message = described.Meaning
	}
	text, err := json.Marshal(body)
	if err != nil {
		text = []byte("{}") // unreachable: strings and numbers can always be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(e.Code.Status())
	_, _ = w.Write(text) // fails only if the client has disconnected
}
