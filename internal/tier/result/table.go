package result

import "net/http"

const (
	actionResend  = "Send the same order again, to any coordinator."
	actionCorrect = "Mend the request; sent unchanged it is refused again."
)

// table has every code once, in ascending order.
var table = []Description{
	{UnknownPath, "unknown_path", http.StatusNotFound, "The control API has no such path.", actionCorrect},
	{WrongMethod, "wrong_method", http.StatusMethodNotAllowed, "The path does not take this method.", actionCorrect},
	{UnreadableBody, "unreadable_body", http.StatusBadRequest, "The body could not be read whole.",
		"Send it again with its full length."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, "The body is over the limit.", actionCorrect},
	{MalformedHeader, "malformed_header", http.StatusBadRequest, "A header cannot be used, such as If-Match.", actionCorrect},
	{BodyTooSlow, "body_too_slow", http.StatusRequestTimeout, "The rest of the body did not come in time.", actionResend},

	{InvalidConfiguration, "invalid_configuration", http.StatusBadRequest,
		"The configuration is invalid; field names the first fault.", actionCorrect},
	{VersionConflict, "version_conflict", http.StatusPreconditionFailed,
		"Another version than the one that If-Match names is current.",
		"Read the configuration, put the change on top of it and send that."},
	{NoConfiguration, "no_configuration", http.StatusNotFound, "No configuration has been taken yet.",
		"Send the first one with If-Match: 0."},

	{InvalidInstance, "invalid_instance", http.StatusBadRequest,
		"The registration is invalid; field names the first fault.", actionCorrect},

	{UnknownMachine, "unknown_machine", http.StatusNotFound, "No turn store of this name is known.",
		"Check the name against the machines' nodeName."},
	{TooFewMachines, "too_few_machines", http.StatusConflict,
		"Fewer turn stores would be left than the records need.", "Add a machine first."},
	{InvalidRetirement, "invalid_retirement", http.StatusBadRequest, "The retirement order is invalid.", actionCorrect},
	{RetirementUnderWay, "retirement_under_way", http.StatusConflict, "The order is under way already.",
		"Ask for its state."},
	{RetirementNotKnown, "retirement_not_known", http.StatusNotFound, "Nobody asked to retire this machine.",
		"Send the order."},
	{MachineKeepsNothing, "machine_keeps_nothing", http.StatusConflict, "The machine holds no records to move.",
		"Take it away as it is."},

	{NoQuorum, "no_quorum", http.StatusServiceUnavailable,
		"This coordinator does not reach enough others; nothing was changed.", actionResend},
	{Uncertain, "uncertain", http.StatusServiceUnavailable,
		"The change was proposed and its end is not known; it may be in force.", actionResend},
	{NotReady, "not_ready", http.StatusServiceUnavailable, "This coordinator has just started.", actionResend},
	{ForgottenOrder, "forgotten_order", http.StatusServiceUnavailable,
		"The order builds on a version so old that it is no longer known whether it was taken.",
		"Read the configuration and compare."},
	{TooManyOrders, "too_many_orders", http.StatusServiceUnavailable, "Too many orders are under way here.", actionResend},
	{ShuttingDown, "shutting_down", http.StatusServiceUnavailable, "This coordinator is stopping.", actionResend},
	{StorageFailed, "storage_failed", http.StatusServiceUnavailable, "The disk did not take what had to be saved.",
		"Send the same order again; look at the machine's disk."},
	{InternalMistake, "internal_mistake", http.StatusInternalServerError, "A mistake in the program; the log has it.",
		"Send the same order again; report it."},
	{ConflictingTries, "conflicting_tries", http.StatusServiceUnavailable,
		"Other changes went first each time.", actionResend},
	{OrderLookedUp, "order_looked_up", http.StatusServiceUnavailable,
		"The order builds on an old version, and this coordinator is still fetching what was taken then.", actionResend},
}

// Table lists all codes in ascending order. Callers must not change it.
func Table() []Description { return table }

// Describe looks a code up; ok is false for an unknown one.
func Describe(code Code) (description Description, ok bool) {
	for _, described := range table {
		if described.Code == code {
			return described, true
		}
	}
	return Description{}, false
}
