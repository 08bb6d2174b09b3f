package register

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

var testSeeds = []string{"10.0.0.1:7380", "10.0.0.2:7380", "10.0.0.3:7380"}

// machineAlone is a machine of which only the disk is used.
func machineAlone(seed uint64) *simulation.Machine {
	random := rand.New(rand.NewPCG(seed, 0))
	return simulation.NewNetwork(random, calm).NewMachine(testSeeds[0], random)
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

func ballotOf(counter uint64) *tierpb.ProposalNumber {
	return &tierpb.ProposalNumber{Counter: counter, Proposer: 7}
}

func (a *Acceptor) prepareFor(counter uint64) *tierpb.PrepareReply {
	return a.Prepare(&tierpb.PrepareRequest{Identity: a.identity, Proposal: ballotOf(counter)})
}

func (a *Acceptor) acceptFor(counter, generation uint64) *tierpb.AcceptReply {
	return a.Accept(&tierpb.AcceptRequest{Identity: a.identity, Proposal: ballotOf(counter), Value: valueOf(generation)})
}

func TestIdentityOfTheFirstStartFollowsFromTheAddress(t *testing.T) {
	machine := machineAlone(1)
	first := openOn(t, machine, true)
	assert.Equal(t, first.Identity(), InitialIdentity(machine.Address()))
	assert.Assert(t, IsVoter(first.AcceptedValue(), first.Identity()))
	again := openOn(t, machine, false)
	assert.Equal(t, again.Identity(), first.Identity())
	assert.Assert(t, !again.Fresh())
	assert.Assert(t, again.AcceptedValue().EqualVT(first.AcceptedValue()))
	machine.Wipe()
	wiped := openOn(t, machine, false)
	assert.Assert(t, wiped.Fresh() && wiped.Identity() != first.Identity())
	assert.Assert(t, wiped.AcceptedValue() == nil)
}

func TestNumbersDifferWhereOneOfTheirSourcesFails(t *testing.T) {
	at, random := time.Unix(1000, 0), []byte("random")
	number := mix("one", at, random)
	assert.Assert(t, number != mix("other", at, random))
	assert.Assert(t, number != mix("one", at.Add(1), random))
	assert.Assert(t, number != mix("one", at, []byte("another")))
	assert.Assert(t, NewIdentity("one") != InitialIdentity("one"))
}

func TestSeedsAgreeInAnyOrder(t *testing.T) {
	turned := []string{testSeeds[2], testSeeds[0], testSeeds[1], testSeeds[0]}
	assert.Assert(t, InitialState(turned).EqualVT(InitialState(testSeeds)))
}

func TestFirstStartThatWasStoppedIsDoneAgain(t *testing.T) {
	for _, point := range []failpoint.Point{failpoint.VersionRenamed, failpoint.VersionFolderSynced, failpoint.IdentityUnsaved} {
		machine := machineAlone(uint64(point))
		_, err := openWith(machine, true, &failpoint.Points{ShouldStop: func(passed failpoint.Point) bool { return passed == point }})
		assert.ErrorIs(t, err, failpoint.ErrStopped)
		machine.PowerLoss()
		acceptor := openOn(t, machine, true)
		assert.Equal(t, acceptor.Identity(), InitialIdentity(machine.Address()))
		assert.Assert(t, acceptor.AcceptedValue().EqualVT(InitialState(testSeeds)))
	}
}

func TestPromisesAndValuesOutliveALossOfPower(t *testing.T) {
	for seed := range uint64(50) {
		machine := machineAlone(seed)
		acceptor := openOn(t, machine, true)
		assert.Assert(t, acceptor.prepareFor(5).Prepared)
		assert.Assert(t, acceptor.acceptFor(5, 1).Accepted)
		assert.Assert(t, acceptor.prepareFor(9).Prepared)
		machine.PowerLoss()
		acceptor = openOn(t, machine, false)
		assert.Assert(t, !acceptor.prepareFor(8).Prepared)
		assert.Assert(t, !acceptor.acceptFor(8, 2).Accepted)
		assert.Equal(t, acceptor.prepareFor(8).HighestPrepared.Counter, uint64(9))
		reply := acceptor.prepareFor(10)
		assert.Assert(t, reply.Prepared)
		assert.Equal(t, reply.Accepted.Counter, uint64(5))
		assert.Equal(t, reply.Value.Configuration.Generation, uint64(1))
	}
}

// TestValueOfAFailedSaveNeverComesUp: the failed save may have left the value on disk; once a promise was given
// without telling of it, it must not appear after a restart.
func TestValueOfAFailedSaveNeverComesUp(t *testing.T) {
	for _, failing := range []failpoint.Point{failpoint.VersionSynced, failpoint.VersionRenamed, failpoint.VersionFolderSynced, failpoint.VersionRemoved} {
		machine := machineAlone(uint64(failing))
		stop := false
		acceptor, err := openWith(machine, true, &failpoint.Points{ShouldStop: func(point failpoint.Point) bool { return stop && point == failing }})
		assert.NilError(t, err)
		assert.Assert(t, acceptor.acceptFor(3, 1).Accepted)
		stop = true
		assert.Assert(t, !acceptor.acceptFor(5, 2).Accepted)
		stop = false
		reply := acceptor.prepareFor(6)
		assert.Equal(t, reply.Accepted.Counter, uint64(3))
		machine.Kill()
		acceptor = openOn(t, machine, false)
		assert.Equal(t, acceptor.AcceptedValue().Configuration.Generation, uint64(1), "point %d", failing)
	}
}

func TestAcceptanceIsToldOnlyWhenItIsOnDisk(t *testing.T) {
	machine := machineAlone(1)
	var acceptor *Acceptor
	passed := 0
	acceptor, err := openWith(machine, true, &failpoint.Points{ShouldStop: func(point failpoint.Point) bool {
		if acceptor != nil && point < failpoint.VersionFolderSynced && point >= failpoint.VersionCreated {
			passed++
			assert.Assert(t, acceptor.AcceptedValue().Configuration == nil)
			peeked := acceptor.Prepare(&tierpb.PrepareRequest{Identity: acceptor.identity})
			assert.Equal(t, peeked.Accepted.GetCounter(), uint64(0))
		}
		return false
	}})
	assert.NilError(t, err)
	assert.Assert(t, acceptor.acceptFor(3, 1).Accepted)
	assert.Equal(t, passed, 4)
}

func TestDamagedDiskIsAnotherNode(t *testing.T) {
	for _, series := range []string{identitySeries, promiseSeries, acceptedSeries} {
		machine := machineAlone(1)
		acceptor := openOn(t, machine, true)
		assert.Assert(t, acceptor.prepareFor(5).Prepared)
		assert.Assert(t, acceptor.acceptFor(5, 1).Accepted)
		machine.Disk.CorruptMatching(series + "-")
		reopened := openOn(t, machine, false)
		assert.Assert(t, reopened.Fresh() && reopened.Identity() != acceptor.Identity(), series)
		assert.Assert(t, reopened.AcceptedValue() == nil)
		again := openOn(t, machine, false)
		assert.Equal(t, again.Identity(), reopened.Identity())
	}
}

// TestMissingFileIsAnotherNode: an acceptor whose file of promises or of the accepted value is gone has forgotten what it
// told others, as one whose file is damaged.
func TestMissingFileIsAnotherNode(t *testing.T) {
	for _, series := range []string{identitySeries, promiseSeries, acceptedSeries} {
		for _, bootstrap := range []bool{true, false} {
			machine := machineAlone(1)
			acceptor := openOn(t, machine, bootstrap)
			assert.Assert(t, acceptor.prepareFor(5).Prepared)
			assert.Assert(t, acceptor.acceptFor(5, 1).Accepted)
			assert.Assert(t, acceptor.prepareFor(6).Prepared)
			machine.Disk.RemoveMatching(series + "-")
			reopened := openOn(t, machine, false)
			assert.Assert(t, reopened.Fresh() && reopened.Identity() != acceptor.Identity(), series)
			assert.Assert(t, reopened.AcceptedValue() == nil)
			assert.Equal(t, openOn(t, machine, false).Identity(), reopened.Identity())
		}
	}
}

// TestFolderOfABuildBeforeIsCompleted: builds before wrote no file that tells which others there are. Their folders are
// read as they were, and from then on a file that goes is missed.
func TestFolderOfABuildBeforeIsCompleted(t *testing.T) {
	for _, unwritten := range []string{promiseSeries, acceptedSeries, "none"} {
		machine := machineAlone(1)
		before := openOn(t, machine, false)
		machine.Disk.RemoveMatching(completeSeries + "-")
		machine.Disk.RemoveMatching(unwritten + "-")
		read := openOn(t, machine, false)
		assert.Assert(t, !read.Fresh() && read.Identity() == before.Identity(), unwritten)
		assert.Equal(t, openOn(t, machine, false).Identity(), before.Identity())
		machine.Disk.RemoveMatching(promiseSeries + "-")
		assert.Assert(t, openOn(t, machine, false).Identity() != before.Identity())
	}
}

func TestCallsThatWaitForAStalledDiskAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := machineAlone(1)
		acceptor := openOn(t, machine, true)
		machine.Freeze()
		ended := make(chan bool, 3*maxWaiting)
		for i := range 3 * maxWaiting {
			go func() { ended <- acceptor.prepareFor(uint64(i + 1)).Prepared }()
		}
		synctest.Wait()
		refused := len(ended)
		assert.Equal(t, refused, 2*maxWaiting)
		machine.Thaw()
		for range 3 * maxWaiting {
			<-ended
		}
	})
}

func TestDiskUseIsBounded(t *testing.T) {
	machine := machineAlone(1)
	acceptor := openOn(t, machine, true)
	longest := 0
	for i := range uint64(500) {
		assert.Assert(t, acceptor.prepareFor(i+1).Prepared)
		assert.Assert(t, acceptor.acceptFor(i+1, i).Accepted)
		longest = max(longest, machine.Disk.Bytes())
	}
	size := valueOf(500).SizeVT()
	assert.Assert(t, longest < 2*size+1000, "%d bytes for a value of %d", longest, size)
}
