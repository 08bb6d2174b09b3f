package register

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/changelog"
	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// countingDisk counts the disk operations of an acceptor when it starts.
type countingDisk struct {
	storage.Disk
	lists, reads, bytes, written int
}

func (s *countingDisk) List(folder string) ([]string, error) {
	s.lists++
	return s.Disk.List(folder)
}

func (s *countingDisk) Read(path string) ([]byte, error) {
	data, err := s.Disk.Read(path)
	s.reads++
	s.bytes += len(data)
	return data, err
}

func (s *countingDisk) Create(path string) (storage.File, error) {
	s.written++
	return s.Disk.Create(path)
}

// TestAcceptorDiskAndStartCostDoNotGrow logs and bounds the size of an acceptor's files and the cost of its start, after 500
// and after 5000 changes of a configuration of 350 routes.
func TestAcceptorDiskAndStartCostDoNotGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1, reliableLinks)
		m := c.members[0]
		value := &tierpb.ControlState{Voters: InitialState(c.seeds).Voters, Configuration: &tierpb.Configuration{}}
		for change := uint64(1); change <= 5000; change++ {
			changelog.Append(value, changelog.NewChange(change-1, change, []byte{byte(change)}))
			value.Version, value.Configuration = change, largeConfiguration(change)
			number := &tierpb.ProposalNumber{Counter: change, Proposer: 1}
			identity := m.currentAcceptor().Identity()
			assert.Assert(t, m.currentAcceptor().Prepare(&tierpb.PrepareRequest{Identity: identity, Proposal: number}).Prepared)
			accept := &tierpb.AcceptRequest{Identity: identity, Proposal: number, Value: value.CloneVT()}
			assert.Assert(t, m.currentAcceptor().Accept(accept).Accepted)
			if change == 500 || change == 5000 {
				m.checkFolder(change, value.SizeVT())
			}
		}
	})
}

func (m *member) checkFolder(changes uint64, size int) {
	t := m.cluster.t
	disk := &countingDisk{Disk: m.machine.Start().Mount()}
	acceptor, err := OpenAcceptor(AcceptorOptions{Disk: disk, Folder: folder, Address: m.machine.Address()})
	assert.NilError(t, err)
	names, err := disk.Disk.List(folder)
	assert.NilError(t, err)
	t.Logf("%d changes, value of %d bytes: %d files, %d bytes; start: %d lists, %d reads of %d bytes, %d files written",
		changes, size, len(names), m.machine.Disk.Bytes(), disk.lists, disk.reads, disk.bytes, disk.written)
	assert.Equal(t, acceptor.AcceptedValue().Version, changes)
	assert.Equal(t, len(names), 4, "%v", names) // identity, prepared number, accepted value, completeness
	assert.Assert(t, m.machine.Disk.Bytes() < size+1000)
	assert.Equal(t, disk.reads, 4)
	assert.Equal(t, disk.written, 0)
	assert.Assert(t, m.start(false))
}
