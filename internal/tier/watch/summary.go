package watch

import "pulleygw.example/pulleygw/internal/tier/tierpb"

// summaryBuckets is the number of digests in a summary. A summary takes 256 bytes in a request. With 3,000 instances,
// a digest that differs causes the instances of one bucket to be sent, about 47.
const summaryBuckets = 64

// summary holds a digest of the registered instances for each bucket of instance ids. The digest of a bucket is the sum of
// the digests of its instances, so it does not depend on the order of changes, and each change costs two additions.
type summary [summaryBuckets]uint32

func (s *summary) add(instance *tierpb.Instance) {
	if instance != nil && !isDeregistered(instance) {
		s[bucketOf(instance.Id)] += instanceDigest(instance)
	}
}

func (s *summary) remove(instance *tierpb.Instance) {
	if instance != nil && !isDeregistered(instance) {
		s[bucketOf(instance.Id)] -= instanceDigest(instance)
	}
}

// matches reports whether a watcher's summary has the same digest in the bucket of an id. A summary of another size never
// matches.
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

func bucketOf(id string) int { return int(hashString(fnvBasis, id) % summaryBuckets) }

// instanceDigest covers the id and everything whose change classify returns as Material.
func instanceDigest(instance *tierpb.Instance) uint32 {
	sum := (uint64(descriptionDigest(instance)) ^ uint64(instance.State)<<32) * fnvPrime
	return uint32(sum ^ sum>>32)
}

// descriptionDigest covers everything of an instance but its state, its sequence and its remaining slow start.
func descriptionDigest(instance *tierpb.Instance) uint32 {
	sum := hashString(fnvBasis, instance.Id)
	for _, text := range [...]string{instance.Address, instance.Backend, instance.Zone, instance.Generation} {
		sum = hashString(sum, text)
	}
	for _, model := range instance.Models {
		sum = hashString(sum, model)
	}
	sum = (sum ^ uint64(instance.Slots)) * fnvPrime
	return uint32(sum ^ sum>>32)
}

// Parameters of the FNV-1a hash (Fowler, Noll, Vo), which has no seed, so all processes compute the same digests.
const (
	fnvBasis = 14695981039346656037
	fnvPrime = 1099511628211
)

func hashString(sum uint64, text string) uint64 {
	for i := range len(text) {
		sum = (sum ^ uint64(text[i])) * fnvPrime
	}
	sum = (sum ^ 0xff) * fnvPrime // separates the texts
	return sum ^ sum>>29
}
