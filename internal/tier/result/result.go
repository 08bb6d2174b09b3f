// Package result numbers the errors of the control API. The codes stand in the JSON bodies of its error responses and
// never change their meaning; docs/result-codes.md lists them and is generated from the table here.
//
// A handler makes an Error with New or InField and sends it with Write; the HTTP status follows from the code.
package result

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Code is the number of one result. The thousands tell the group: 1 malformed requests, 2 configurations, 3
// registrations, 4 retirements, 5 states of the control plane in which a request gets no definite answer.
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
	RetirementNotKnown  Code = 4005
	MachineKeepsNothing Code = 4006
)

// States of the control plane in which a change gets no definite answer; the same request should be sent again.
const (
	NoQuorum         Code = 5001
	Uncertain        Code = 5002
	NotReady         Code = 5003
	ForgottenOrder   Code = 5004
	TooManyOrders    Code = 5005
	ShuttingDown     Code = 5006
	StorageFailed    Code = 5007
	InternalMistake  Code = 5008
	ConflictingTries Code = 5009
	OrderLookedUp    Code = 5015
)

// Description explains a code.
type Description struct {
	Code    Code
	Name    string
	Status  int    // HTTP status
	Meaning string // what has happened, for operators
	Action  string // what the caller should do
}

// String is the code's name as in JSON, or its number if the code is unknown.
func (c Code) String() string {
	described, ok := Describe(c)
	if !ok {
		return strconv.Itoa(int(c))
	}
	return described.Name
}

// Status is the HTTP status of the code; 500 for an unknown code.
func (c Code) Status() int {
	described, ok := Describe(c)
	if !ok {
		return http.StatusInternalServerError
	}
	return described.Status
}

// Error is a result with details for the caller.
type Error struct {
	Code    Code
	Field   string // field of the body, or header, at fault, such as routes[3].backend; may be empty
	Message string // may be empty
}

// New makes an Error; an empty message stands for the meaning of the code.
func New(code Code, message string) *Error { return &Error{Code: code, Message: message} }

// InField makes an Error about one field of the request.
func InField(code Code, field, message string) *Error {
	return &Error{Code: code, Field: field, Message: message}
}

// Error returns name, field and message in one line.
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

// Write sends the status and the body of an error. Headers such as Retry-After must be set before.
func Write(w http.ResponseWriter, e *Error) {
	described, _ := Describe(e.Code)
	body := Body{Code: e.Code, Name: e.Code.String(), Field: e.Field, Message: e.Message}
	if body.Message == "" {
		body.Message = described.Meaning
	}
	text, err := json.Marshal(body)
	if err != nil {
		text = []byte("{}") // cannot happen: all members are strings and numbers
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(e.Code.Status())
	_, _ = w.Write(text) // nothing can be told to a caller that disconnected
}
