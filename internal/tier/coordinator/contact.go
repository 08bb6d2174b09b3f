package coordinator

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/register"
)

// startPatience is how long a coordinator that has started may take to find the others.
const startPatience = 2 * time.Second

// inTouch says whether this process and the coordinators that answer its polls are a quorum of the register. Votes are
// counted by identity, as the register does: a process at a voter's address that is not that voter has no vote, be it
// this one.
func (c *coordinator) inTouch() bool {
	return register.Quorum(c.voters(), func(identity uint64) bool {
		return identity == c.self.Identity || c.directory.answersAs(identity)
	})
}

// cutOff says that this process has been unable to find a majority of the voters; what it is told does not reach the
// others, nor what they are told this process.
func (c *coordinator) cutOff() bool {
	return !c.inTouch() && c.now().Sub(c.directory.started) > startPatience
}
