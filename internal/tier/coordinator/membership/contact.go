package membership

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

const (
	// ContactTimeout is how long a reply counts as contact, counted from when its poll was sent. The reply was sent later
	// than the poll, so messages passed in both directions at most this long ago. It covers two polls that are each
	// answered at the last moment: contact does not lapse between consecutive replies, but it does lapse if this
	// process did not run for that long.
	ContactTimeout = 2 * watch.MaxPollDuration

	// StartupGrace is how long a coordinator may take after its start to find the others.
	StartupGrace = 2 * time.Second
)

// HasQuorumContact reports whether this process and the coordinators that answered it within ContactTimeout form a quorum of
// the voters. Voters are counted by identity, as in the register: a process at a voter's address with another identity has no
// vote, and that includes this process. Replies from coordinators that know later voters than this process do not count.
// Later voters can only be chosen with the votes of a majority of the earlier ones, so a quorum of replies that know no
// later voters shows that none had been chosen by then.
func (m *Membership) HasQuorumContact() bool { return register.HasQuorum(m.Voters(), m.hasContact) }

// hasContact reports whether an identity is that of this process or of a coordinator that answered it recently.
func (m *Membership) hasContact(identity uint64) bool {
	return identity == m.options.Self.Identity || m.directory.hasRecentReply(identity)
}

// Isolated reports that this process has no quorum contact although its startup grace is over. Updates are then not
// replicated between it and the majority.
func (m *Membership) Isolated() bool { return !m.HasQuorumContact() && !m.Starting() }

// Starting reports that this process may not have had enough time since its start to find the others.
func (m *Membership) Starting() bool {
	return m.options.Now().Sub(m.directory.started) <= StartupGrace
}

// CheckReadiness makes the readiness gate evaluate quorum contact now instead of at the next poll from a follower.
func (m *Membership) CheckReadiness() { m.readiness.Check() }

func (m *Membership) logQuorumContact(established bool, lasted time.Duration) {
	lasted = lasted.Round(time.Millisecond)
	if established {
		m.options.Log.Info("quorum contact established", "after", lasted)
		return
	}
	m.options.Log.Warn("quorum contact lost", "lasted", lasted, "missing", NodeNames(m.missingVoters()))
}

// missingVoters returns the voters that do not answer this process.
func (m *Membership) missingVoters() []*tierpb.Node {
	var missing []*tierpb.Node
	for _, voter := range register.VoterNodes(&tierpb.ControlState{Voters: m.Voters()}) {
		if !m.hasContact(voter.GetIdentity()) {
			missing = append(missing, voter)
		}
	}
	return missing
}
