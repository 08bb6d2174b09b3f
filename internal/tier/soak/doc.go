// Package soak is a fault-injection test of a whole tier: it runs every role as a real process on loopback sockets and
// injects overlapping faults that are drawn from a seed. Clients record a History of what they sent and received, which
// is checked against what the fake stores really executed, during the faults and after they have ended (compare Jepsen:
// generator, nemesis, history, checker). No production role imports it.
//
// # Parts
//
//   - A Plan is drawn from a seed: size of the tier, faults with their times, and the final fault (plan.go).
//   - The harness runs the tier: launch and exit of processes, which are not expected to exit by themselves (harness.go).
//   - The fault injector applies the plan: processes and machines (faults.go), links (link_faults.go, by the Relay) and
//     disks (disk_faults.go, by the VolatileDisk).
//   - Load comes from well-behaved clients (traffic.go), misbehaving ones (misbehaving_clients.go), operators that change
//     the configuration concurrently (operators.go), and stores that join, drain, crash and misbehave (stores.go).
//   - The checker compares the History with the runs of the stores (checker.go). Responses are checked as they come
//     (traffic.go), configurations by the operators and by probes (configuration_probe.go), logs by the log watcher.
//
// # Replay
//
// A seed reproduces the plan, but not the timing of processes. A plan file is played again with -plan.
//
// # Limits
//
// Unless a plan is volatile, a kill keeps writes that were not synced. All processes share the clock of one machine, so
// there is no clock skew.
package soak
