package changelog

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestSegmentStorePersistsAndFollowsTheControlState(t *testing.T) {
	folder := t.TempDir()
	store, err := OpenSegmentStore(storage.OS{}, folder)
	assert.NilError(t, err)
	r := newRecorder()
	random := rand.New(rand.NewPCG(1, 1))
	for range 12 {
		r.commitMany(SegmentLength/2, random)
		assert.NilError(t, store.Reconcile(r.state, nil))
		assert.Equal(t, len(store.Missing(r.state)), 0)
	}
	store, err = OpenSegmentStore(storage.OS{}, folder)
	assert.NilError(t, err)
	for _, change := range r.committed {
		assert.Equal(t, Classify(r.state, store, change), Committed)
	}
	names, err := storage.OS{}.List(folder)
	assert.NilError(t, err)
	assert.Equal(t, len(names), 1)
	empty, err := OpenSegmentStore(storage.OS{}, t.TempDir())
	assert.NilError(t, err)
	assert.Equal(t, len(empty.Missing(r.state)), len(r.state.OlderChanges))
	var fetched []*tierpb.ChangeSegment
	for _, digest := range empty.Missing(r.state) {
		fetched = append(fetched, store.Segment(digest))
	}
	fetched[0].Digests[0] ^= 1 // as if corrupted in transit
	assert.NilError(t, empty.Reconcile(r.state, fetched))
	assert.Equal(t, len(empty.Missing(r.state)), 1)
	assert.Equal(t, Classify(r.state, empty, r.committed[0]), SegmentMissing)
	assert.Equal(t, Classify(r.state, empty, r.committed[SegmentLength]), Committed)
}
