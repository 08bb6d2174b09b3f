package register

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

var testSeeds = []string{"10.0.0.1:7380", "10.0.0.2:7380", "10.0.0.3:7380"}

// standaloneMachine returns a machine without a running network, for tests that need only its disk.
func standaloneMachine(seed uint64) *simulation.Machine {
	random := rand.New(rand.NewPCG(seed, 0))
	return simulation.NewNetwork(random, reliableLinks).NewMachine(testSeeds[0], random)
}

func openOn(t *testing.T, machine *simulation.Machine, bootstrap bool) *Acceptor {
	t.Helper()
	acceptor, err := openWith(machine, bootstrap, nil)
	assert.NilError(t, err)
	return acceptor
}

func openWith(machine *simulation.Machine, bootstrap bool, points *failpoint.Points) (*Acceptor, error) {
	return OpenAcceptor(AcceptorOptions{
		Disk: machine.Start().Mount(), Folder: folder, Address: machine.Address(), Bootstrap: bootstrap, Seeds: testSeeds,
		Failpoints: points,
	})
}

func valueOf(generation uint64) *tierpb.ControlState {
	state := InitialState(testSeeds)
	state.Version = generation
	state.Configuration = &tierpb.Configuration{Generation: generation}
	return state
}

func proposalNumber(counter uint64) *tierpb.ProposalNumber {
	return &tierpb.ProposalNumber{Counter: counter, Proposer: 7}
}

func (a *Acceptor) prepareFor(counter uint64) *tierpb.PrepareReply {
	return a.Prepare(&tierpb.PrepareRequest{Identity: a.identity, Proposal: proposalNumber(counter)})
}

func (a *Acceptor) acceptFor(counter, generation uint64) *tierpb.AcceptReply {
	return a.Accept(&tierpb.AcceptRequest{Identity: a.identity, Proposal: proposalNumber(counter), Value: valueOf(generation)})
}

// largeConfiguration returns a configuration about as long as one of 350 routes.
func largeConfiguration(generation uint64) *tierpb.Configuration {
	route := []byte(`{"name":"r-%d","hostname":"host%d.example","pathPrefix":"/prefix%d/","kind":"streaming","timeoutMs":5000,` +
		`"targetLatencyMs":250,"priority":0,"backend":"service-a","maxAttempts":2,"retained":true,"retentionS":60.0,` +
		`"sessionAffinity":true,"resumable":false,"gap_aim_ms":400},`)
	return &tierpb.Configuration{Generation: generation, Body: bytes.Repeat(route, 350)}
}
