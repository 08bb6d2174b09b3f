package watch

import "pulleygw.example/pulleygw/internal/tier/tierpb"

// summaryBuckets is the number of digests in a summary: 256 bytes a request, and of 3,000 instances a changed one
// costs a snapshot of 47.
const summaryBuckets = 64

// summary is a digest of all registered instances for each bucket of their ids. A bucket is the sum of the digests of
// its instances, so it does not depend on the order of changes, and each change costs two additions.
type summary [summaryBuckets]uint32

func (s *summary) add(instance *tierpb.Instance) {
	if instance != nil && !isDeregistered(instance) {
		s[bucketOf(instance.Id)] += digest(instance)
	}
}

func (s *summary) remove(instance *tierpb.Instance) {
	if instance != nil && !isDeregistered(instance) {
		s[bucketOf(instance.Id)] -= digest(instance)
	}
}

// matches reports whether a watcher's summary has the same instances in the bucket of an id. A summary of another size
// matches nowhere.
func (s *summary) matches(other []uint32, id string) bool {
	bucket := bucketOf(id)
	return len(other) == summaryBuckets && other[bucket] == s[bucket]
}

// digests returns the summary for a request, nil if there are no instances.
func (s *State) digests() []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.instances) == 0 {
		return nil
	}
	return append([]uint32(nil), s.summary[:]...)
}

func bucketOf(id string) int { return int(addToHash(fnvBasis, id) % summaryBuckets) }

// digest covers everything that classify treats as material.
func digest(instance *tierpb.Instance) uint32 {
	sum := (uint64(descriptionDigest(instance)) ^ uint64(instance.State)<<32) * fnvPrime
	return uint32(sum ^ sum>>32)
}

// descriptionDigest covers an instance without its state, its sequence and the rest of its slow start.
func descriptionDigest(instance *tierpb.Instance) uint32 {
	sum := addToHash(fnvBasis, instance.Id)
	for _, text := range [...]string{instance.Address, instance.Backend, instance.Zone, instance.Generation} {
		sum = addToHash(sum, text)
	}
	for _, model := range instance.Models {
		sum = addToHash(sum, model)
	}
	sum = (sum ^ uint64(instance.Slots)) * fnvPrime
	return uint32(sum ^ sum>>32)
}

// Parameters of FNV-1a (Fowler, Noll, Vo), which has no seed: all processes get the same digests.
const (
	fnvBasis = 14695981039346656037
	fnvPrime = 1099511628211
)

func addToHash(sum uint64, text string) uint64 {
	for i := range len(text) {
		sum = (sum ^ uint64(text[i])) * fnvPrime
	}
	sum = (sum ^ 0xff) * fnvPrime // separates the texts
	return sum ^ sum>>29
}
