// Package result numbers what the control API may answer other than success. The numbers stand in the JSON bodies of
// its errors and never change their meaning; docs/result-codes.md lists them.
package result

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Code numbers one result. The thousands tell the group.
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

// States of the control plane in which an order gets no clear answer; it is to be sent again.
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

// Description tells what a code means.
type Description struct {
	Code    Code
	Name    string
	Status  int    // of the HTTP answer
	Meaning string // what has happened
	Action  string // what the caller does
}

// String is the code's name.
func (c Code) String() string {
	described, ok := Describe(c)
	if !ok {
		return strconv.Itoa(int(c))
	}
	return described.Name
}

// Status is the HTTP status that goes with the code.
func (c Code) Status() int {
	described, ok := Describe(c)
	if !ok {
		return http.StatusInternalServerError
	}
	return described.Status
}

// Error is a result with what the caller should know besides.
type Error struct {
	Code    Code
	Field   string // of the body or header at fault, such as routes[3].backend; may be empty
	Message string // may be empty
}

// New makes an Error.
func New(code Code, message string) *Error { return &Error{Code: code, Message: message} }

// InField makes an Error about one field.
func InField(code Code, field, message string) *Error {
	return &Error{Code: code, Field: field, Message: message}
}

// Error says what has happened in one line.
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

// Body is the JSON body of an answer that is not a success.
type Body struct {
	Code    Code   `json:"code"`
	Name    string `json:"name"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Write answers with the error's status and body. Headers such as Retry-After are set before.
func Write(w http.ResponseWriter, e *Error) {
	described, _ := Describe(e.Code)
	body := Body{Code: e.Code, Name: e.Code.String(), Field: e.Field, Message: e.Message}
	if body.Message == "" {
		body.Message = described.Meaning
	}
	text, err := json.Marshal(body)
	if err != nil {
		text = []byte("{}") // not reached: all members are strings and numbers
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(e.Code.Status())
	_, _ = w.Write(text) // a caller that left needs no answer
}
