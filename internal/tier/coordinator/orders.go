package coordinator

import (
	"fmt"

	"pulleygw.example/pulleygw/internal/tier/changelog"
	"pulleygw.example/pulleygw/internal/tier/result"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// order is a configuration that an operator sent.
type order struct {
	changelog.Change
	body []byte
	runs changelog.Segments // older orders that were taken
}

func newOrder(ifMatch, generation uint64, body []byte, runs changelog.Segments) *order {
	return &order{Change: changelog.NewChange(ifMatch, generation, body), body: body, runs: runs}
}

// change takes the order where it builds on the current version. One that was taken before changes nothing; any other
// ends with a *result.Error, which is a refusal only where the order is known not to have been taken.
func (o *order) change(current *tierpb.ControlState) (*tierpb.ControlState, error) {
	generation := current.GetConfiguration().GetGeneration()
	switch changelog.Classify(current, o.runs, o.Change) {
	case changelog.Committed:
		return current, nil
	case changelog.Rejected:
		return nil, result.New(result.VersionConflict, fmt.Sprintf("version %d is current", generation))
	case changelog.SegmentMissing:
		return nil, result.New(result.OrderLookedUp, "")
	case changelog.Compacted:
		return nil, result.New(result.ForgottenOrder, "")
	}
	if o.Generation <= generation {
		return nil, result.InField(result.InvalidConfiguration, "generation",
			fmt.Sprintf("%d is not above the current %d", o.Generation, generation))
	}
	current.Configuration = &tierpb.Configuration{Generation: o.Generation, Body: o.body}
	changelog.Append(current, o.Change)
	return current, nil
}

// isSettled says that a chosen control state and all later ones give the order one and the same end: it was taken, or it
// builds on a version that is over.
func (o *order) isSettled(chosen *tierpb.ControlState) bool {
	if o.IfMatch >= chosen.GetConfiguration().GetGeneration() {
		return false
	}
	verdict := changelog.Classify(chosen, o.runs, o.Change)
	return verdict == changelog.Committed || verdict == changelog.Rejected
}
