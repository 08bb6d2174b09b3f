package membership

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

const (
	// ContactTimeout is for how long a poll that was answered counts as contact, from when it was sent. As the process
	// that answered did so later than that, no more time has passed since the last moment at which a quorum was
	// reached both ways. It is the time of two polls of which each is answered just in time, so contact does not
	// lapse between two answers; it lapses where this process did not run.
	ContactTimeout = 2 * watch.MaxPollDuration

	// StartupGrace is the time that a coordinator which has started may take to find the others.
	StartupGrace = 2 * time.Second
)

// InContact reports whether this process and the coordinators that answer its polls are a quorum of the register. Votes are
// counted by identity, as the register does: a process at a voter's address that is not that voter has no vote, be it
// this one. What it rests on is at most ContactTimeout old. A reply of one that knows of later voters than this process
// does not count: without a vote of a majority of the voters before them, no later voters can have been chosen by then.
func (m *Membership) InContact() bool { return register.HasQuorum(m.Voters(), m.hasContact) }

// hasContact reports whether a node is this process or answers it.
func (m *Membership) hasContact(identity uint64) bool {
	return identity == m.options.Self.Identity || m.directory.hasRecentReply(identity)
}

// Isolated reports that this process has been unable to find a majority of the voters; what it receives does not reach the
// others, nor what they receive this process.
func (m *Membership) Isolated() bool { return !m.InContact() && !m.Starting() }

// Starting reports that this process may not have had the time to find the others yet.
func (m *Membership) Starting() bool {
	return m.options.Now().Sub(m.directory.started) <= StartupGrace
}

// CheckReadiness has the readiness gate look at the contact now, rather than at the next poll of a follower.
func (m *Membership) CheckReadiness() { m.readiness.Check() }

func (m *Membership) logContact(inContact bool, lasted time.Duration) {
	lasted = lasted.Round(time.Millisecond)
	if inContact {
		m.options.Log.Info("quorum contact established", "after", lasted)
		return
	}
	m.options.Log.Warn("quorum contact lost", "lasted", lasted, "missing", NodeNames(m.missingVoters()))
}

// missingVoters are the voters that do not answer this process.
func (m *Membership) missingVoters() []*tierpb.Node {
	var missing []*tierpb.Node
	for _, voter := range register.VoterNodes(&tierpb.ControlState{Voters: m.Voters()}) {
		if !m.hasContact(voter.GetIdentity()) {
			missing = append(missing, voter)
		}
	}
	return missing
}
