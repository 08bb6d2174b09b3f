// Package soak plays a whole tier as real processes on loopback sockets under overlapping troubles drawn from a seed:
// kills, pauses, cuts, lost answers, wiped disks, stops, reloads, and stores and clients that misbehave. Clients keep
// their own history of what they sent and were told; it is judged against what the stores really ran, while the troubles
// go on and after they have ended. No role imports it.
//
// What it cannot show: kills keep what was not synced (package simulation loses it), clocks are those of one machine,
// and disks are never slow or full.
package soak
