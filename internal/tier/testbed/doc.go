// Package testbed provides the environment of a serving tier for tests and for examples/tier: fake stores, a fake
// operator, a test client, and a launcher that runs a whole tier as real processes on loopback addresses.
//
//   - NewTier lays out the machines of a tier, each with an address, settings files and processes of its own, which a
//     Launcher starts. Machines can be signalled, killed, terminated, wiped and started again.
//   - A Store is a fake store instance: an HTTP server that registers itself, sends heartbeats, drains and deregisters,
//     records every request it runs, and misbehaves as told (Fault). Its responses are a function of the request, so that
//     a client can check them; plain stores answer with a body, engines with a stream of server-sent events.
//   - An Operator puts configurations and retires machines, and retries until the outcome is known.
//   - A Client sends requests as customers do and checks the signature and the content of the responses.
//
// Nothing here is part of a production role.
package testbed
