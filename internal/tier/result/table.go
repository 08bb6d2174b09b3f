package result

import "net/http"

const (
	actionRetry   = "Retry the same request, at any coordinator."
	actionCorrect = "Correct the request; unchanged it will be rejected again."
)

// table describes each code once, in ascending order.
var table = []Description{
	{UnknownPath, "unknown_path", http.StatusNotFound, "The control API has no such path.", actionCorrect},
	{WrongMethod, "wrong_method", http.StatusMethodNotAllowed, "The path does not take this method.", actionCorrect},
	{UnreadableBody, "unreadable_body", http.StatusBadRequest, "The body could not be read completely.",
		"Retry with the complete body and its length."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, "The body is over the limit.", actionCorrect},
	{MalformedHeader, "malformed_header", http.StatusBadRequest, "A header cannot be used, such as If-Match.", actionCorrect},
	{BodyTooSlow, "body_too_slow", http.StatusRequestTimeout, "The rest of the body did not arrive in time.", actionRetry},

	{InvalidConfiguration, "invalid_configuration", http.StatusBadRequest,
		"The configuration is invalid; field names the first fault.", actionCorrect},
	{VersionConflict, "version_conflict", http.StatusPreconditionFailed,
		"Another version than the one that If-Match names is current.",
		"Read the current configuration, apply the change to it and send the result."},
	{NoConfiguration, "no_configuration", http.StatusNotFound, "No configuration has been committed yet.",
		"Send the first one with If-Match: 0."},

	{InvalidInstance, "invalid_instance", http.StatusBadRequest,
		"The registration is invalid; field names the first fault.", actionCorrect},

	{UnknownMachine, "unknown_machine", http.StatusNotFound, "No turn store of this name is known.",
		"Check the name against the machines' nodeName."},
	{TooFewMachines, "too_few_machines", http.StatusConflict,
		"The remaining turn stores could not hold enough replicas of every record.", "Add a machine first."},
	{InvalidRetirement, "invalid_retirement", http.StatusBadRequest, "The retirement request is invalid.", actionCorrect},
	{RetirementUnderWay, "retirement_under_way", http.StatusConflict, "The machine is being retired already.",
		"Query the state of the retirement."},
	{RetirementNotFound, "retirement_not_known", http.StatusNotFound, "No retirement of this machine was requested.",
		"Request it."},
	{MachineHasNoRecords, "machine_keeps_nothing", http.StatusConflict, "The machine holds no records to migrate.",
		"Remove it; no retirement is needed."},

	{NoQuorum, "no_quorum", http.StatusServiceUnavailable,
		"This coordinator has no quorum; nothing was changed.", actionRetry},
	{Uncertain, "uncertain", http.StatusServiceUnavailable,
		"The change was proposed and its outcome is unknown; it may be in force.", actionRetry},
	{NotReady, "not_ready", http.StatusServiceUnavailable, "This coordinator has just started.", actionRetry},
	{VersionTooOld, "forgotten_order", http.StatusServiceUnavailable,
		"The change is based on a version so old that it is no longer known whether it was committed.",
		"Read the configuration and compare."},
	{TooManyChanges, "too_many_orders", http.StatusServiceUnavailable, "Too many changes are in progress at this coordinator.", actionRetry},
	{ShuttingDown, "shutting_down", http.StatusServiceUnavailable, "This coordinator is shutting down.", actionRetry},
	{StorageFailed, "storage_failed", http.StatusServiceUnavailable, "The change could not be written to disk.",
		"Retry the same request; check the machine's disk."},
	{InternalError, "internal_mistake", http.StatusInternalServerError, "An internal error; the log has the cause.",
		"Retry the same request; report the error."},
	{RepeatedConflicts, "conflicting_tries", http.StatusServiceUnavailable,
		"Concurrent changes were committed first at each attempt.", actionRetry},
	{FetchingChanges, "order_looked_up", http.StatusServiceUnavailable,
		"The change is based on an old version, and this coordinator is still fetching the changes committed then.", actionRetry},
}

// Table returns the descriptions of all codes in ascending order. Callers must not modify it.
func Table() []Description { return table }

// Describe returns the description of a code; ok is false if the code is unknown.
func Describe(code Code) (description Description, ok bool) {
	for _, described := range table {
		if described.Code == code {
			return described, true
		}
	}
	return Description{}, false
}
