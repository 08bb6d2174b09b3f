package watch

import (
	"google.golang.org/protobuf/reflect/protoreflect"

	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// mergeControl replaces the control state if the received one is newer, and reports whether it was. Nil is ignored.
func (s *State) mergeControl(control *tierpb.ControlState) bool {
	if control == nil || !s.isNewer(control) {
		return false
	}
	s.control = control
	s.bodies.add(control.Version, control.Configuration.GetBody())
	s.revision++
	s.controlRevision = s.revision
	s.notify(&s.changeSignal)
	return true
}

// isNewer reports whether a control state is newer than the known one. It also checks the invariants of chosen control
// states: one value per version, and epochs and configuration generations that never decrease from one version to the
// next.
func (s *State) isNewer(control *tierpb.ControlState) bool {
	known := s.control
	if known == nil {
		return true
	}
	knownGeneration, generation := known.Configuration.GetGeneration(), control.Configuration.GetGeneration()
	if control.Version == known.Version {
		invariant.Check(generation == knownGeneration, invariant.OneValuePerVersion, generation, knownGeneration)
	}
	if control.Version <= known.Version {
		return false
	}
	monotonic := generation >= knownGeneration && control.Epoch >= known.Epoch
	return invariant.Check(monotonic, invariant.GenerationMonotonic, generation, knownGeneration)
}

// reconstructControl returns the control state of a reply, with the configuration's body built from the delta if there
// is one; nil if the delta does not match the known body.
func (s *State) reconstructControl(reply *tierpb.WatchReply) *tierpb.ControlState {
	if reply.Body == nil || reply.Control == nil {
		return reply.Control
	}
	if s.control.GetVersion() != reply.Body.Base {
		return nil
	}
	body, err := applyDelta(reply.Body, s.control.GetConfiguration().GetBody())
	if err != nil {
		return nil
	}
	control := withoutBody(reply.Control)
	control.Configuration.Body = body
	return control
}

// withoutBody returns a shallow copy of a control state without the configuration's body. Unknown fields, sent by a
// later release, are copied too.
func withoutBody(control *tierpb.ControlState) *tierpb.ControlState {
	stripped := &tierpb.ControlState{}
	from, to := control.ProtoReflect(), stripped.ProtoReflect()
	from.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		to.Set(field, value)
		return true
	})
	to.SetUnknown(from.GetUnknown())
	stripped.Configuration = &tierpb.Configuration{Generation: control.Configuration.GetGeneration()}
	return stripped
}

// controlFor returns the part of a control state that a watcher's role needs. Only coordinators need the committed
// changes, which make up most of a control state with few routes. Turn stores do not need the configuration either.
func controlFor(watcher *tierpb.Node, control *tierpb.ControlState) *tierpb.ControlState {
	if watcher.GetRole() == tierpb.Role_ROLE_COORDINATOR {
		return control
	}
	reduced := &tierpb.ControlState{
		Version: control.Version, Epoch: control.Epoch, Voters: control.Voters, Stores: control.Stores,
		Configuration: control.Configuration, Retirements: control.Retirements,
	}
	if watcher.GetRole() == tierpb.Role_ROLE_TURN_STORE {
		reduced.Configuration = nil
	}
	return reduced
}
