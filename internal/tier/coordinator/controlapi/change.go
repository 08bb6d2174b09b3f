package controlapi

import (
	"fmt"

	"pulleygw.example/pulleygw/internal/tier/changelog"
	"pulleygw.example/pulleygw/internal/tier/result"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// configurationChange is a configuration that an operator sent, and the generation that it is to replace.
type configurationChange struct {
	changelog.Change
	body    []byte
	changes changelog.Segments // older changes that were committed
}

func newConfigurationChange(ifMatch, generation uint64, body []byte, changes changelog.Segments) *configurationChange {
	return &configurationChange{Change: changelog.NewChange(ifMatch, generation, body), body: body, changes: changes}
}

// apply is a register.ChangeFunc. It puts the configuration in force where that builds on the current generation. A change
// that was committed before changes nothing; any other ends with a *result.Error, which is a rejection only where the change
// is known not to have been committed.
func (c *configurationChange) apply(current *tierpb.ControlState) (*tierpb.ControlState, error) {
	generation := current.GetConfiguration().GetGeneration()
	switch changelog.Classify(current, c.changes, c.Change) {
	case changelog.Committed:
		return current, nil
	case changelog.Rejected:
		return nil, result.New(result.VersionConflict, fmt.Sprintf("version %d is current", generation))
	case changelog.SegmentMissing:
		return nil, result.New(result.OrderLookedUp, "")
	case changelog.Compacted:
		return nil, result.New(result.ForgottenOrder, "")
	}
	if c.Generation <= generation {
		return nil, result.InField(result.InvalidConfiguration, "generation",
			fmt.Sprintf("%d is not above the current %d", c.Generation, generation))
	}
	current.Configuration = &tierpb.Configuration{Generation: c.Generation, Body: c.body}
	changelog.Append(current, c.Change)
	return current, nil
}

// isDecided reports that a chosen control state and all later ones give the change one and the same outcome: it was committed,
// or it builds on a generation that is no longer current.
func (c *configurationChange) isDecided(chosen *tierpb.ControlState) bool {
	if c.IfMatch >= chosen.GetConfiguration().GetGeneration() {
		return false
	}
	outcome := changelog.Classify(chosen, c.changes, c.Change)
	return outcome == changelog.Committed || outcome == changelog.Rejected
}
