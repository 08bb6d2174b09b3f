// Package watch distributes the control state and the list of instances to every process of the tier, by long polls.
//
// # Data flow
//
// The control state (voters, turn store membership, configuration) is chosen by the register of the coordinators. The
// instances (incarnations of the stores that serve requests) register with any coordinator by heartbeats. From there:
//
//	store heartbeats ─► coordinators ◄─► coordinators   each watches all others, heartbeats included
//	                        │
//	                        ├─► turn stores             control state without configuration, no instances
//	                        └─► agents                  each watches a few coordinators
//	                              └─► proxy             watches the agent of its machine over loopback
//
// At each hop a State is both ends of a watch: a Watcher merges the replies of its sources into it, and Serve lets an
// rpc.Server answer the polls of the next hop from it.
//
// # Merge rules
//
// A State only moves forward, and the result of merging depends on the set of updates alone, not on their order,
// number or source. It is a join semilattice, as in a state-based CRDT (Shapiro et al., 2011):
//
//   - Control state: the higher version wins. The register guarantees one value per version.
//   - Instance: the higher sequence (set by the store) wins; at the same sequence the higher state wins. Terminal
//     states (draining, deregistered) are final, whatever sequence comes later.
//   - A deregistered instance remains as a tombstone for tombstoneTTL, so that an older update that is still on its
//     way does not bring it back.
//
// Because of this a process may watch several sources at once, switch between them at any time, and take the same
// update twice.
//
// # Polls
//
// A State numbers its changes by a revision. Revisions are local to one State, so a State also draws a random
// incarnation, and a watcher's position in a source is the pair (incarnation, cursor). A request carries the position,
// the version of the newest control state known, and how long it may be held. The reply comes at once where there is
// something newer, else when there is or when the wait is over. It holds
//
//   - the control state, where newer. The configuration's body is sent as a delta where the watcher has one of the
//     last maxDeltaBases versions;
//   - a full description of each instance whose description is new to the watcher, at most maxInstancesPerReply (More
//     says that the rest follows), and a short InstanceStatus for every other change;
//   - heartbeats, where asked for, other than those that the watcher gets from another source;
//   - the position to ask from next.
//
// A watcher that does not know the source's incarnation first sends a summary, a digest per bucket of instances, and
// gets a snapshot of only those buckets that differ. A watcher of several sources asks one of them, the primary, for
// everything and the others for digests only. If another source is ahead, the watcher waits a moment for the primary
// before it asks that source for the rest.
//
// # Reconciliation
//
// Polls carry changes only, so an instance that all coordinators have forgotten (its store crashed while they
// restarted) would stay in the agents' lists for ever. A watcher with Options.Reconcile therefore compares its summary
// with a synchronized source from time to time, an anti-entropy exchange. Instances that the source does not name are
// unconfirmed: after unconfirmedTimeout they are marked suspect, after registry.ExpireAfter deregistered.
//
// # Bounds
//
// Wake-ups are rate limited (minChangeInterval, minHeartbeatInterval), so that a burst of changes costs each watcher
// few polls. Full descriptions in a reply, delta bases and the change journal are bounded. Sources that fail are avoided with
// exponential backoff; all periods are jittered so that watchers do not act in step.
package watch
