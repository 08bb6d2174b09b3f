package register

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestInitialIdentityIsDerivedFromTheAddress(t *testing.T) {
	machine := standaloneMachine(1)
	first := openOn(t, machine, true)
	assert.Equal(t, first.Identity(), InitialIdentity(machine.Address()))
	assert.Assert(t, IsVoter(first.AcceptedValue(), first.Identity()))
	again := openOn(t, machine, false)
	assert.Equal(t, again.Identity(), first.Identity())
	assert.Assert(t, !again.HasNewIdentity())
	assert.Assert(t, again.AcceptedValue().EqualVT(first.AcceptedValue()))
	machine.Wipe()
	wiped := openOn(t, machine, false)
	assert.Assert(t, wiped.HasNewIdentity() && wiped.Identity() != first.Identity())
	assert.Assert(t, wiped.AcceptedValue() == nil)
}

func TestUniqueIDsDifferIfOneSourceRepeats(t *testing.T) {
	at, random := time.Unix(1000, 0), []byte("random")
	id := hashID("one", at, random)
	assert.Assert(t, id != hashID("other", at, random))
	assert.Assert(t, id != hashID("one", at.Add(1), random))
	assert.Assert(t, id != hashID("one", at, []byte("another")))
	assert.Assert(t, NewIdentity("one") != InitialIdentity("one"))
}

func TestInitialStateDoesNotDependOnTheOrderOfSeeds(t *testing.T) {
	reordered := []string{testSeeds[2], testSeeds[0], testSeeds[1], testSeeds[0]}
	assert.Assert(t, InitialState(reordered).EqualVT(InitialState(testSeeds)))
}

func TestInterruptedFirstStartIsRepeated(t *testing.T) {
	for _, point := range []failpoint.Point{failpoint.VersionRenamed, failpoint.VersionFolderSynced, failpoint.IdentityUnsaved} {
		machine := standaloneMachine(uint64(point))
		_, err := openWith(machine, true, &failpoint.Points{ShouldStop: func(passed failpoint.Point) bool { return passed == point }})
		assert.ErrorIs(t, err, failpoint.ErrStopped)
		machine.PowerLoss()
		acceptor := openOn(t, machine, true)
		assert.Equal(t, acceptor.Identity(), InitialIdentity(machine.Address()))
		assert.Assert(t, acceptor.AcceptedValue().EqualVT(InitialState(testSeeds)))
	}
}

func TestPreparedAndAcceptedSurvivePowerLoss(t *testing.T) {
	for seed := range uint64(50) {
		machine := standaloneMachine(seed)
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

// TestValueOfAFailedSaveNeverReappears: a failed save may still have left the value on disk. Once a prepare was granted
// without reporting that value, the value must not appear after a restart.
func TestValueOfAFailedSaveNeverReappears(t *testing.T) {
	for _, failing := range []failpoint.Point{failpoint.VersionSynced, failpoint.VersionRenamed, failpoint.VersionFolderSynced, failpoint.VersionRemoved} {
		machine := standaloneMachine(uint64(failing))
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

func TestAcceptedValueIsVisibleOnlyOnceOnDisk(t *testing.T) {
	machine := standaloneMachine(1)
	var acceptor *Acceptor
	passed := 0
	acceptor, err := openWith(machine, true, &failpoint.Points{ShouldStop: func(point failpoint.Point) bool {
		if acceptor != nil && point < failpoint.VersionFolderSynced && point >= failpoint.VersionCreated {
			passed++
			assert.Assert(t, acceptor.AcceptedValue().Configuration == nil)
			queried := acceptor.Prepare(&tierpb.PrepareRequest{Identity: acceptor.identity})
			assert.Equal(t, queried.Accepted.GetCounter(), uint64(0))
		}
		return false
	}})
	assert.NilError(t, err)
	assert.Assert(t, acceptor.acceptFor(3, 1).Accepted)
	assert.Equal(t, passed, 4)
}

func TestCorruptedFileLeadsToANewIdentity(t *testing.T) {
	for _, series := range []string{identityFile, preparedFile, acceptedFile} {
		machine := standaloneMachine(1)
		acceptor := openOn(t, machine, true)
		assert.Assert(t, acceptor.prepareFor(5).Prepared)
		assert.Assert(t, acceptor.acceptFor(5, 1).Accepted)
		machine.Disk.CorruptMatching(series + "-")
		reopened := openOn(t, machine, false)
		assert.Assert(t, reopened.HasNewIdentity() && reopened.Identity() != acceptor.Identity(), series)
		assert.Assert(t, reopened.AcceptedValue() == nil)
		again := openOn(t, machine, false)
		assert.Equal(t, again.Identity(), reopened.Identity())
	}
}

// TestMissingFileLeadsToANewIdentity: an acceptor that lost the file of the prepared number or of the accepted value no
// longer knows what it promised to proposers, as if the file were corrupted.
func TestMissingFileLeadsToANewIdentity(t *testing.T) {
	for _, series := range []string{identityFile, preparedFile, acceptedFile} {
		for _, bootstrap := range []bool{true, false} {
			machine := standaloneMachine(1)
			acceptor := openOn(t, machine, bootstrap)
			assert.Assert(t, acceptor.prepareFor(5).Prepared)
			assert.Assert(t, acceptor.acceptFor(5, 1).Accepted)
			assert.Assert(t, acceptor.prepareFor(6).Prepared)
			machine.Disk.RemoveMatching(series + "-")
			reopened := openOn(t, machine, false)
			assert.Assert(t, reopened.HasNewIdentity() && reopened.Identity() != acceptor.Identity(), series)
			assert.Assert(t, reopened.AcceptedValue() == nil)
			assert.Equal(t, openOn(t, machine, false).Identity(), reopened.Identity())
		}
	}
}

// TestFolderOfAnOlderBuildIsCompleted: older builds did not record which files exist, so a file that is missing from their
// folders was never written. It is written at the first start, and from then on a missing file counts as lost.
func TestFolderOfAnOlderBuildIsCompleted(t *testing.T) {
	for _, unwritten := range []string{preparedFile, acceptedFile, "none"} {
		machine := standaloneMachine(1)
		first := openOn(t, machine, false)
		machine.Disk.RemoveMatching(completeFile + "-")
		machine.Disk.RemoveMatching(unwritten + "-")
		read := openOn(t, machine, false)
		assert.Assert(t, !read.HasNewIdentity() && read.Identity() == first.Identity(), unwritten)
		assert.Equal(t, openOn(t, machine, false).Identity(), first.Identity())
		machine.Disk.RemoveMatching(preparedFile + "-")
		assert.Assert(t, openOn(t, machine, false).Identity() != first.Identity())
	}
}

func TestRequestsPendingOnAStalledDiskAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := standaloneMachine(1)
		acceptor := openOn(t, machine, true)
		machine.Freeze()
		ended := make(chan bool, 3*maxPendingRequests)
		for i := range 3 * maxPendingRequests {
			go func() { ended <- acceptor.prepareFor(uint64(i + 1)).Prepared }()
		}
		synctest.Wait()
		rejected := len(ended)
		assert.Equal(t, rejected, 2*maxPendingRequests)
		machine.Thaw()
		for range 3 * maxPendingRequests {
			<-ended
		}
	})
}

func TestAcceptorDiskUseIsBounded(t *testing.T) {
	machine := standaloneMachine(1)
	acceptor := openOn(t, machine, true)
	largest := 0
	for i := range uint64(500) {
		assert.Assert(t, acceptor.prepareFor(i+1).Prepared)
		assert.Assert(t, acceptor.acceptFor(i+1, i).Accepted)
		largest = max(largest, machine.Disk.Bytes())
	}
	size := valueOf(500).SizeVT()
	assert.Assert(t, largest < 2*size+1000, "%d bytes for a value of %d", largest, size)
}
