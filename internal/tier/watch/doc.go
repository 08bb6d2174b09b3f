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
// Each process on this path keeps one State. A Watcher merges the replies of the process's sources into it, and Serve
// registers it with an rpc.Server as the source that answers the polls of the next hop.
//
// # Merge rules
//
// A State only moves forward, and the result of merging depends on the set of updates alone, not on their order,
// number or source. It is a join semilattice, as in a state-based CRDT (Shapiro et al., 2011):
//
//   - Control state: the higher version wins. The register guarantees one value per version.
//   - Instance: the higher sequence (set by the store) wins; at the same sequence the higher state wins. Terminal
//     states (draining, deregistered) are final, whatever sequence comes later.
//   - A deregistered instance remains as a tombstone for tombstoneTTL, so that an older update that is still in
//     transit does not add it again.
//
// Therefore a process may watch several sources at once, switch between them at any time, and merge the same update
// twice.
//
// # Polls
//
// A State numbers its changes with increasing revisions. Revisions are local to one State, so each State has a random
// incarnation id as well, and a watcher's position in a source is the pair (incarnation, cursor), where the cursor is
// the last revision that it has merged. A request carries the position, the version of the newest control state that
// the watcher knows, and how long the source may hold the request. The source replies as soon as it has something
// newer, at the latest when that time is over. The reply contains
//
//   - the control state, if it is newer. The configuration's body is sent as a delta if the watcher has one of the
//     maxDeltaBases versions before the newest;
//   - a full description of each instance whose description is new to the watcher, at most maxInstancesPerReply (the
//     field More says that further replies are needed), and a short InstanceStatus for every other change;
//   - heartbeats, if requested, except those that the watcher receives from another of its sources;
//   - the position for the next request.
//
// A watcher that does not know the source's incarnation first sends a summary, which has one digest per bucket of
// instances, and receives a snapshot of the buckets that differ. A watcher of several sources requests full updates from
// one of them, the primary, and digests only from the others. If another source is ahead of the primary, the watcher
// gives the primary catchUpTimeout to send the missing updates before it requests them from that source.
//
// # Reconciliation
//
// Polls carry changes only, so an instance that all coordinators have forgotten (because its store crashed while they
// restarted) would stay in the agents' lists for ever. A watcher with Options.Reconcile therefore compares its summary
// periodically with that of a synchronized source (anti-entropy). Instances that the source's reply does not name are
// unconfirmed: they are marked suspect after unconfirmedTimeout and deregistered after registry.ExpireAfter.
//
// # Bounds
//
// Wake-ups of held polls are rate limited (minChangeInterval, minHeartbeatInterval), so that a burst of changes costs
// each watcher few polls. The full descriptions in a reply, the delta bases and the journals of changes are bounded.
// Sources that fail are avoided with exponential backoff. All periods are jittered, so that watchers do not poll in
// lockstep.
package watch
