package modelcheck

// seededFaults are known bugs of consensus and replication code that the model checker has to find. The snippets quote
// the source of other packages and change with it.
var seededFaults = []seededFault{
	{
		name: "prepare not persisted", file: "register/acceptor.go",
		old:     "if err := a.savePrepared(number); err != nil {",
		changed: "if err := error(nil); err != nil {",
	},
	{
		name: "accept acknowledged before it is durable", file: "register/acceptor.go",
		old:     "if err := a.saveAccepted(request.Proposal, request.Value); err != nil {",
		changed: "go func() { _ = a.saveAccepted(request.Proposal, request.Value) }()\n\tif err := error(nil); err != nil {",
	},
	{
		name: "version counts as durable without a sync of its directory", file: "storage/series.go",
		old:     "if err := s.failpoints.At(failpoint.VersionRenamed); err != nil {\n\t\treturn err\n\t}\n\tif err := s.disk.SyncDir(s.directory); err != nil {",
		changed: "if err := s.failpoints.At(failpoint.VersionRenamed); err != nil {",
	},
	{
		name: "restart forgets that an accept implies a prepare", file: "register/acceptor_storage.go",
		old:     "\t\tstate.prepared = state.accepted // an accept implies a prepare and does not write preparedFile\n",
		changed: "",
	},
	{
		name: "prepare answered for another acceptor identity", file: "register/acceptor.go",
		old:     "func (a *Acceptor) Prepare(request *tierpb.PrepareRequest) *tierpb.PrepareReply {\n\tif request.GetIdentity() != a.identity {",
		changed: "func (a *Acceptor) Prepare(request *tierpb.PrepareRequest) *tierpb.PrepareReply {\n\tif false {",
	},
	{
		name: "acceptor keeps its identity after the loss of its disk", file: "register/acceptor_storage.go",
		old:     "a.identity = NewIdentity(options.Address)",
		changed: "a.identity = InitialIdentity(options.Address)",
	},
	{
		name: "accept does not check the prepared proposal", file: "register/acceptor.go",
		old:     "if isHigher(state.prepared, request.Proposal) {\n\t\treturn &tierpb.AcceptReply{",
		changed: "if false {\n\t\treturn &tierpb.AcceptReply{",
	},
	{
		name: "prepare does not check the prepared proposal", file: "register/acceptor.go",
		old:     "if isHigher(state.prepared, request.Proposal) {\n\t\treturn &tierpb.PrepareReply{",
		changed: "if false {\n\t\treturn &tierpb.PrepareReply{",
	},
	{
		name: "any accepted value instead of that of the highest proposal", file: "register/prepare.go",
		old:     "if t.best != nil && !isHigher(reply.Accepted, t.best.Accepted) {",
		changed: "if t.best != nil {",
	},
	{
		name: "joint quorum counts the new voters only", file: "register/quorum.go",
		old:     "for _, set := range voters {\n\t\tcount := 0",
		changed: "for _, set := range voters[len(voters)-1:] {\n\t\tcount := 0",
	},
	{
		name: "old voters removed before the joint configuration is chosen", file: "register/reconfigure.go",
		old:     "return len(current.GetVoters()) == 2 && len(next.GetVoters()) == 1",
		changed: "return false",
		also: &seededFault{
			file:    "register/accept.go",
			old:     "tracker.voters = append(append(tracker.voters, current.GetVoters()...), next.GetVoters()...)",
			changed: "tracker.voters = append(tracker.voters, next.GetVoters()...)",
		},
	},
	{
		name: "conflict answered from a value that is not chosen", file: "register/proposer.go",
		old:     "if prepared.chosen {\n\t\treturn attemptResult{completed: true",
		changed: "if true {\n\t\treturn attemptResult{completed: true",
	},
	{
		name: "read answered from the value of one acceptor", file: "register/read.go",
		old:     "if !found.chosen {",
		changed: "if found.value == nil {",
	},
	{
		name: "quorum of one less than a majority", file: "register/quorum.go",
		old:     "if count <= len(set.GetNodes())/2 {",
		changed: "if count < len(set.GetNodes())/2 {",
	},
	{
		name: "retried change not recognized", file: "modelcheck/operation.go",
		old:     "if isCommitted(current, to) {",
		changed: "if false {",
	},
	{
		name: "proposer id reused after a restart", file: "register/proposer.go",
		old:     "id: uniqueID(owner)}",
		changed: "id: hashID(owner, time.Time{}, nil)}",
	},
	{
		name: "restarted lessor grants without waiting for the longest TTL", file: "lease/lessor.go",
		old:     "grantsFrom: time.Now().Add(gracePeriod)",
		changed: "grantsFrom: time.Now().Add(0 * gracePeriod)",
	},
	{
		name: "holder keeps the lease past its TTL", file: "lease/attempt.go",
		old:     "expires: now.Add(ttl - ttl/marginDivisor)}",
		changed: "expires: now.Add(ttl + ttl/2)}",
	},
	{
		name: "holder counts grants of removed voters", file: "lease/candidate.go",
		old:     "return now.Before(c.expires) && register.HasQuorum(voters,",
		changed: "return now.Before(c.expires) && register.HasQuorum(c.options.Voters(),",
	},
	{
		name: "late release revokes a later grant", file: "lease/lessor.go",
		old:     "if request.GetSequence() > current.sequence {",
		changed: "if request.GetSequence() > 0 {",
	},
	{
		name: "fencing token not checked", file: "placement/fence.go",
		old:     "case current != credentials.Term:",
		changed: "case true:\n\t\treturn nil\n\tcase current != credentials.Term:",
	},
	{
		name: "previous turn stores removed after the first migration report", file: "placement/migration.go",
		old:     "return p.previous-p.reported <= max(p.tolerated, p.diskLost)",
		changed: "return true",
	},
	{
		name: "migration report of an earlier epoch counts", file: "placement/migration.go",
		old:     "join.Request.RebalancedEpoch >= stores.Epoch",
		changed: "join.Request.RebalancedEpoch > 0",
	},
	{
		name: "only the new replica set counts during a migration", file: "replica/placement.go",
		old:     "if len(membership.Previous) > 0 {",
		changed: "if false {",
	},
	{
		name: "write quorum of one less", file: "replica/quorum.go",
		old:     "return min(tolerance+1, size)",
		changed: "return min(tolerance, size)",
	},
}
