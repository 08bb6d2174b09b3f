package placement

import (
	"net/netip"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// leavingSilence is how long a voter counts as silent whose machine is being emptied.
const leavingSilence = 24 * time.Hour

// withoutLeaving is the view in which coordinators on machines that are being emptied count as silent, so that their
// votes go to others: when a retirement is completed the machine is taken away, with all that runs on it.
func withoutLeaving(current *tierpb.ControlState, view *View) *View {
	var hosts []netip.Addr
	for _, retirement := range current.GetRetirements() {
		if host := hostOfStore(retirement.Identity, view); host.IsValid() {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return view
	}
	changed := *view
	changed.VoterUnreachableFor = func(address string) time.Duration {
		if slices.Contains(hosts, hostOf(address)) {
			return leavingSilence
		}
		return view.VoterUnreachableFor(address)
	}
	return &changed
}

// completeRetirements marks those whose records have moved and whose machine has no vote. While any records move none is
// marked: a machine that is taken away then may be the one whose loss the move makes good.
func completeRetirements(current *tierpb.ControlState, view *View) bool {
	if len(current.GetStores().GetPrevious()) > 0 {
		return false
	}
	completed := false
	for _, retirement := range current.Retirements {
		if retirement.Completed || find(current.GetStores().GetCurrent(), retirement.Identity) >= 0 {
			continue
		}
		if votesOn(hostOfStore(retirement.Identity, view), current.Voters) {
			continue
		}
		retirement.Completed, completed = true, true
		keepOut(current, retirement.Node, view)
	}
	return completed
}

// keepOut retires the other stores of a machine that has been emptied: one whose disk was lost on the way waits under
// another identity, and the machine is about to be taken away.
func keepOut(current *tierpb.ControlState, name string, view *View) {
	for _, join := range view.Joins {
		node := join.Request.Node
		if node.Role != tierpb.Role_ROLE_TURN_STORE || node.Name != name || isRetired(current, node.Identity) {
			continue
		}
		current.Retirements = append(current.Retirements,
			&tierpb.Retirement{Node: name, Identity: node.Identity, Completed: true})
	}
}

func isRetired(current *tierpb.ControlState, identity uint64) bool {
	return slices.ContainsFunc(current.Retirements, func(known *tierpb.Retirement) bool { return known.Identity == identity })
}

func votesOn(host netip.Addr, sets []*tierpb.VoterSet) bool {
	for _, set := range sets {
		for _, voter := range set.Nodes {
			if host.IsValid() && hostOf(voter.Address) == host {
				return true
			}
		}
	}
	return false
}

// hostOfStore is the machine of a turn store that calls; the zero address where it does not.
func hostOfStore(identity uint64, view *View) netip.Addr {
	join, known := joinOf(identity, view)
	if !known {
		return netip.Addr{}
	}
	return hostOf(join.Request.Node.Address)
}

func hostOf(address string) netip.Addr {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr()
}
