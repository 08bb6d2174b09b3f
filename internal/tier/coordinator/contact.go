package coordinator

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// Times of contact.
const (
	// contactMost is for how long a poll that was answered counts as contact, from when it was sent. As the process
	// that answered did so later than that, no more time has passed since the last moment at which a quorum was
	// reached both ways. It is the time of two polls of which each is answered just in time, so contact does not
	// lapse between two answers; it lapses where this process did not run.
	contactMost = 2 * watch.MaxPollDuration

	startPatience = 2 * time.Second // that a coordinator which has started may take to find the others
)

// inTouch says whether this process and the coordinators that answer its polls are a quorum of the register. Votes are
// counted by identity, as the register does: a process at a voter's address that is not that voter has no vote, be it
// this one. What it rests on is at most contactMost old. An answer of one that knows of later voters than this process
// does not count: without a vote of a majority of the voters before them, no later voters can have been chosen by then.
func (c *coordinator) inTouch() bool {
	return register.HasQuorum(c.voters(), c.hasContact)
}

// hasContact says whether a node is this process or answers it.
func (c *coordinator) hasContact(identity uint64) bool {
	return identity == c.self.Identity || c.directory.answersAs(identity)
}

// answered notes the answer to a poll, and when that was sent. One that tells of later voters renews no contact until
// this process knows them too.
func (c *coordinator) answered(address string, reply *tierpb.WatchReply, asked time.Time) {
	if identity := reply.GetResponder().GetIdentity(); identity != 0 {
		c.directory.identify(address, reply.Incarnation, identity)
	}
	epoch := max(reply.GetResponder().GetEpoch(), reply.GetControl().GetEpoch())
	if epoch <= c.newestVoters().GetEpoch() {
		c.directory.answered(address, reply.Incarnation, asked)
	}
}

// cutOff says that this process has been unable to find a majority of the voters; what it is told does not reach the
// others, nor what they are told this process.
func (c *coordinator) cutOff() bool { return !c.inTouch() && !c.starting() }

// starting says that this process may not have had the time to find the others yet.
func (c *coordinator) starting() bool { return c.now().Sub(c.directory.started) <= startPatience }

// newReadiness serves the state to agents and turn stores while contact lasts, and logs when it is lost and found.
func (c *coordinator) newReadiness() *watch.ReadinessGate {
	return watch.NewReadinessGate(watch.ReadinessOptions{
		State: c.state, Ready: c.inTouch, Starting: c.starting, OnChange: c.logContact,
		Now: func() time.Time { return c.now() },
	})
}

func (c *coordinator) logContact(inTouch bool, lasted time.Duration) {
	if inTouch {
		c.log.Info("contact with a majority of the voters found", "after", lasted.Round(time.Millisecond))
		return
	}
	c.log.Warn("contact with a majority of the voters lost", "lasted", lasted.Round(time.Millisecond),
		"missing", sortedNames(c.missingVoters()))
}

// missingVoters are the voters that do not answer this process.
func (c *coordinator) missingVoters() []*tierpb.Node {
	var missing []*tierpb.Node
	for _, voter := range register.VoterNodes(&tierpb.ControlState{Voters: c.voters()}) {
		if !c.hasContact(voter.GetIdentity()) {
			missing = append(missing, voter)
		}
	}
	return missing
}
