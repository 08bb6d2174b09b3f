package modelcheck

// seededFaults are the faults that the model has to find.
var seededFaults = []seededFault{
	{
		name: "promise not saved", file: "register/acceptor.go",
		old:     "if err := a.savePromise(ballot); err != nil {",
		changed: "if err := error(nil); err != nil {",
	},
	{
		name: "acceptance answered before it is saved", file: "register/acceptor.go",
		old:     "if err := a.saveValue(request.Proposal, request.Value); err != nil {",
		changed: "go func() { _ = a.saveValue(request.Proposal, request.Value) }()\n\tif err := error(nil); err != nil {",
	},
	{
		name: "version counts without a sync of its folder", file: "storage/versions.go",
		old:     "if err := s.faults.At(failpoint.VersionRenamed); err != nil {\n\t\treturn err\n\t}\n\tif err := s.disk.SyncFolder(s.folder); err != nil {",
		changed: "if err := s.faults.At(failpoint.VersionRenamed); err != nil {",
	},
	{
		name: "restart forgets that an acceptance is a promise", file: "register/acceptor.go",
		old:     "\t\tstate.promised = state.accepted\n",
		changed: "",
	},
	{
		name: "prepare is answered for another identity", file: "register/acceptor.go",
		old:     "func (a *Acceptor) Prepare(request *tierpb.PrepareRequest) *tierpb.PrepareReply {\n\tif request.GetIdentity() != a.identity {",
		changed: "func (a *Acceptor) Prepare(request *tierpb.PrepareRequest) *tierpb.PrepareReply {\n\tif false {",
	},
	{
		name: "wiped acceptor keeps its identity", file: "register/acceptor.go",
		old:     "a.identity = DrawIdentity(options.Address)",
		changed: "a.identity = InitialIdentity(options.Address)",
	},
	{
		name: "accept does not look at the promise", file: "register/acceptor.go",
		old:     "if higher(state.promised, request.Proposal) {\n\t\treturn &tierpb.AcceptReply{",
		changed: "if false {\n\t\treturn &tierpb.AcceptReply{",
	},
	{
		name: "promise does not look at the one before", file: "register/acceptor.go",
		old:     "if higher(state.promised, request.Proposal) {\n\t\treturn &tierpb.PrepareReply{",
		changed: "if false {\n\t\treturn &tierpb.PrepareReply{",
	},
	{
		name: "any accepted value instead of the highest", file: "register/round.go",
		old:     "if c.best != nil && !higher(reply.Accepted, c.best.Accepted) {",
		changed: "if c.best != nil {",
	},
	{
		name: "only the new voters count while they are joint", file: "register/quorum.go",
		old:     "for _, set := range voters {\n\t\tcount := 0",
		changed: "for _, set := range voters[len(voters)-1:] {\n\t\tcount := 0",
	},
	{
		name: "old voters dropped before the joint ones are chosen", file: "register/voters.go",
		old:     "return len(current.GetVoters()) == 2 && len(next.GetVoters()) == 1",
		changed: "return false",
		also: &seededFault{
			file:    "register/accept.go",
			old:     "count.voters = append(append(count.voters, current.GetVoters()...), next.GetVoters()...)",
			changed: "count.voters = append(count.voters, next.GetVoters()...)",
		},
	},
	{
		name: "conflict answered from a value that is not chosen", file: "register/proposer.go",
		old:     "if prepared.chosen {\n\t\treturn attemptResult{done: true",
		changed: "if true {\n\t\treturn attemptResult{done: true",
	},
	{
		name: "read answered from one acceptor's value", file: "register/peek.go",
		old:     "if !found.chosen {",
		changed: "if found.value == nil {",
	},
	{
		name: "majority of one less", file: "register/quorum.go",
		old:     "if count <= len(set.GetNodes())/2 {",
		changed: "if count < len(set.GetNodes())/2 {",
	},
	{
		name: "order that is sent again is not known", file: "modelcheck/operation.go",
		old:     "if isCommitted(current, to) {",
		changed: "if false {",
	},
	{
		name: "proposer number reused after a restart", file: "register/proposer.go",
		old:     "number: draw(owner)}",
		changed: "number: mix(owner, time.Time{}, nil)}",
	},
	{
		name: "grantor that has started does not hold back", file: "lease/grantor.go",
		old:     "opens: time.Now().Add(holdBack)",
		changed: "opens: time.Now().Add(0 * holdBack)",
	},
	{
		name: "holder goes on past the term", file: "lease/holder.go",
		old:     "until: now.Add(term - term/8)}",
		changed: "until: now.Add(term + term/2)}",
	},
	{
		name: "holder counts grants of voters that are no more", file: "lease/holder.go",
		old:     "return now.Before(h.until) && register.Quorum(voters,",
		changed: "return now.Before(h.until) && register.Quorum(h.options.Voters(),",
	},
	{
		name: "late release ends a later grant", file: "lease/grantor.go",
		old:     "if request.GetSequence() > held.sequence {",
		changed: "if request.GetSequence() > 0 {",
	},
	{
		name: "fence left out", file: "placement/fence.go",
		old:     "case current != claim.Term:",
		changed: "case true:\n\t\treturn nil\n\tcase current != claim.Term:",
	},
	{
		name: "previous turn stores dropped at the first report", file: "placement/moves.go",
		old:     "return p.members-p.reported <= max(p.allowed, p.gone)",
		changed: "return true",
	},
	{
		name: "report of an earlier move counts", file: "placement/moves.go",
		old:     "join.Request.CopiedEpoch >= stores.Epoch",
		changed: "join.Request.CopiedEpoch > 0",
	},
	{
		name: "only the new turn stores count while records move", file: "replica/collect.go",
		old:     "if len(membership.Previous) > 0 {",
		changed: "if false {",
	},
	{
		name: "write quorum of one less", file: "replica/set.go",
		old:     "return min(tolerance+1, size)",
		changed: "return min(tolerance, size)",
	},
}
