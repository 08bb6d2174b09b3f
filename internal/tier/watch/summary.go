package watch

import "pulleygw.example/pulleygw/internal/tier/tierpb"

// summaryBuckets is into how many digests a summary divides the instances.
const summaryBuckets = 64

// summary is a digest of all instances that are not gone, by buckets of their ids. Each is the sum of its instances'
// digests, so it follows from the instances alone, in whatever order they came, and each change costs two additions.
type summary [summaryBuckets]uint32

func (s *summary) add(instance *tierpb.Instance) {
	if instance != nil && instance.State != tierpb.InstanceState_INSTANCE_DEREGISTERED {
		s[bucketOf(instance.Id)] += digest(instance)
	}
}

func (s *summary) remove(instance *tierpb.Instance) {
	if instance != nil && instance.State != tierpb.InstanceState_INSTANCE_DEREGISTERED {
		s[bucketOf(instance.Id)] -= digest(instance)
	}
}

// agrees says that a follower's summary shows the same instances in the bucket of an id. One of another size agrees
// with nothing.
func (s *summary) agrees(with []uint32, id string) bool {
	bucket := bucketOf(id)
	return len(with) == summaryBuckets && with[bucket] == s[bucket]
}

func bucketOf(id string) int { return int(hashOf(fnvBasis, id) % summaryBuckets) }

// digest covers what compare takes for material.
func digest(instance *tierpb.Instance) uint32 {
	sum := (uint64(descriptionDigest(instance)) ^ uint64(instance.State)<<32) * fnvPrime
	return uint32(sum ^ sum>>32)
}

// descriptionDigest covers an instance but for its state, its sequence and what passes with time.
func descriptionDigest(instance *tierpb.Instance) uint32 {
	sum := hashOf(fnvBasis, instance.Id)
	for _, text := range [...]string{instance.Address, instance.Backend, instance.Zone, instance.Generation} {
		sum = hashOf(sum, text)
	}
	for _, model := range instance.Models {
		sum = hashOf(sum, model)
	}
	sum = (sum ^ uint64(instance.Slots)) * fnvPrime
	return uint32(sum ^ sum>>32)
}

// FNV-1a, which all processes compute alike.
const (
	fnvBasis = 14695981039346656037
	fnvPrime = 1099511628211
)

func hashOf(sum uint64, text string) uint64 {
	for i := range len(text) {
		sum = (sum ^ uint64(text[i])) * fnvPrime
	}
	sum = (sum ^ 0xff) * fnvPrime // ends the text
	return sum ^ sum>>29
}
