package placement

import (
	"net/netip"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// drainingUnreachableFor is how long the voters on a draining machine count as unreachable. It is longer than for any other
// voter, so they are replaced first.
const drainingUnreachableFor = 24 * time.Hour

// withDrainingUnreachable returns a view in which the coordinators on draining machines count as unreachable, so that they
// are replaced as voters: when a retirement is completed, the machine is removed with everything that runs on it.
func withDrainingUnreachable(current *tierpb.ControlState, view *View) *View {
	var hosts []netip.Addr
	for _, retirement := range current.GetRetirements() {
		if host := view.storeHost(retirement.Identity); host.IsValid() {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return view
	}
	changed := *view
	changed.VoterUnreachableFor = func(address string) time.Duration {
		if slices.Contains(hosts, hostOf(address)) {
			return drainingUnreachableFor
		}
		return view.VoterUnreachableFor(address)
	}
	return &changed
}

// completeRetirements completes the retirements whose turn store is not a member and whose machine has no voter, and reports
// whether there were any. During a migration it completes none: the retiring machine may be the replacement of a lost
// one, and that loss is no longer counted once the retirement is completed.
func completeRetirements(current *tierpb.ControlState, view *View) bool {
	if len(current.GetStores().GetPrevious()) > 0 {
		return false
	}
	completed := false
	for _, retirement := range current.Retirements {
		if retirement.Completed || indexOf(current.GetStores().GetCurrent(), retirement.Identity) >= 0 {
			continue
		}
		if hasVoterOn(view.storeHost(retirement.Identity), current.Voters) {
			continue
		}
		retirement.Completed, completed = true, true
		retireSameName(current, retirement.Node, view)
	}
	return completed
}

// retireSameName retires the other identities of a retired turn store, because its machine is about to be removed: a store
// whose disk was lost while it was draining sends join requests under a new identity.
func retireSameName(current *tierpb.ControlState, name string, view *View) {
	for _, join := range view.Joins {
		node := join.Request.Node
		if node.Role != tierpb.Role_ROLE_TURN_STORE || node.Name != name || hasRetirement(current, node.Identity) {
			continue
		}
		current.Retirements = append(current.Retirements,
			&tierpb.Retirement{Node: name, Identity: node.Identity, Completed: true})
	}
}

func hasRetirement(current *tierpb.ControlState, identity uint64) bool {
	return slices.ContainsFunc(current.Retirements, func(known *tierpb.Retirement) bool { return known.Identity == identity })
}

// isExcluded reports whether a turn store must not become a member, because it is retired or its machine is draining.
func isExcluded(current *tierpb.ControlState, node *tierpb.Node) bool {
	for _, retirement := range current.Retirements {
		if retirement.Identity == node.Identity || retirement.Node == node.Name && !retirement.Completed {
			return true
		}
	}
	return false
}

func hasVoterOn(host netip.Addr, sets []*tierpb.VoterSet) bool {
	for _, set := range sets {
		for _, voter := range set.Nodes {
			if host.IsValid() && hostOf(voter.Address) == host {
				return true
			}
		}
	}
	return false
}

// storeHost returns the host of a turn store, the zero address if the store is unknown.
func (v *View) storeHost(identity uint64) netip.Addr {
	join, known := v.findJoin(identity)
	if !known {
		return netip.Addr{}
	}
	return hostOf(join.Request.Node.Address)
}

// hostOf returns the host of an address, the zero address if the address is not an IP address with a port.
func hostOf(address string) netip.Addr {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr()
}
