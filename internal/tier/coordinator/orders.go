package coordinator

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"pulleygw.example/pulleygw/internal/tier/result"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Bounds of what the register remembers.
const (
	takenOrdersKept = 1024
	digestBytes     = 16
)

// order is a configuration that an operator sent.
type order struct {
	ifMatch    uint64
	generation uint64
	digest     []byte
	body       []byte
}

func newOrder(ifMatch, generation uint64, body []byte) *order {
	sum := sha256.Sum256(body)
	return &order{ifMatch: ifMatch, generation: generation, digest: sum[:digestBytes], body: body}
}

// change takes the order where it builds on the current version. One that was taken before changes nothing; any other
// is refused with a *result.Error.
func (o *order) change(current *tierpb.ControlState) (*tierpb.ControlState, error) {
	if o.wasTaken(current) {
		return current, nil
	}
	generation := current.GetConfiguration().GetGeneration()
	if o.ifMatch != generation {
		if o.mayBeForgotten(current) {
			return nil, result.New(result.ForgottenOrder, "")
		}
		return nil, result.New(result.VersionConflict, fmt.Sprintf("version %d is current", generation))
	}
	if o.generation <= generation {
		return nil, result.InField(result.InvalidConfiguration, "generation",
			fmt.Sprintf("%d is not above the current %d", o.generation, generation))
	}
	current.Configuration = &tierpb.Configuration{Generation: o.generation, Body: o.body}
	taken := &tierpb.TakenOrder{IfMatch: o.ifMatch, Generation: o.generation, Digest: o.digest}
	current.Taken = append(current.Taken, taken)
	if excess := len(current.Taken) - takenOrdersKept; excess > 0 {
		current.Taken = current.Taken[excess:]
	}
	return current, nil
}

func (o *order) wasTaken(current *tierpb.ControlState) bool {
	for _, taken := range current.GetTaken() {
		if taken.IfMatch == o.ifMatch && taken.Generation == o.generation && bytes.Equal(taken.Digest, o.digest) {
			return true
		}
	}
	return false
}

// mayBeForgotten says that an order like this could have been taken before the oldest one that is remembered.
func (o *order) mayBeForgotten(current *tierpb.ControlState) bool {
	return len(current.GetTaken()) >= takenOrdersKept && o.ifMatch < current.Taken[0].IfMatch
}
