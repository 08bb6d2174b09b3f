package controlapi

import (
	"fmt"

	"pulleygw.example/pulleygw/internal/tier/changelog"
	"pulleygw.example/pulleygw/internal/tier/result"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// configurationChange is an operator's request to replace the configuration of one generation by a new one.
type configurationChange struct {
	changelog.Change
	body         []byte
	olderChanges changelog.Segments // older committed changes
}

func newConfigurationChange(ifMatch, generation uint64, body []byte, changes changelog.Segments) *configurationChange {
	return &configurationChange{Change: changelog.NewChange(ifMatch, generation, body), body: body, olderChanges: changes}
}

// apply is a register.ChangeFunc. It sets the configuration if the change is based on the current generation. A change that was
// committed before leaves the value as it is. In all other cases it returns a *result.Error, which is a rejection only if
// the change is known not to have been committed.
func (c *configurationChange) apply(current *tierpb.ControlState) (*tierpb.ControlState, error) {
	generation := current.GetConfiguration().GetGeneration()
	switch changelog.Classify(current, c.olderChanges, c.Change) {
	case changelog.Committed:
		return current, nil
	case changelog.Rejected:
		return nil, result.New(result.VersionConflict, fmt.Sprintf("version %d is current", generation))
	case changelog.SegmentMissing:
		return nil, result.New(result.FetchingChanges, "")
	case changelog.Compacted:
		return nil, result.New(result.VersionTooOld, "")
	}
	if c.Generation <= generation {
		return nil, result.InField(result.InvalidConfiguration, "generation",
			fmt.Sprintf("%d is not above the current %d", c.Generation, generation))
	}
	current.Configuration = &tierpb.Configuration{Generation: c.Generation, Body: c.body}
	changelog.Append(current, c.Change)
	return current, nil
}

// isDecided reports whether the outcome of the change can no longer differ after this chosen control state: the change was
// committed, or it is based on a generation that is no longer current.
func (c *configurationChange) isDecided(chosen *tierpb.ControlState) bool {
	if c.IfMatch >= chosen.GetConfiguration().GetGeneration() {
		return false
	}
	outcome := changelog.Classify(chosen, c.olderChanges, c.Change)
	return outcome == changelog.Committed || outcome == changelog.Rejected
}
