package proxy

import (
	"hash/fnv"

	"pulleygw.example/pulleygw/internal/tier/configuration"
)

// pickService chooses the service by weight. All requests of a program on a route with session affinity choose the
// same.
func (x *exchange) pickService() string {
	backends := x.route.Backends
	if len(backends) == 1 {
		return backends[0].Service
	}
	key := x.r.Header.Get(headerProgram)
	if key == "" || !x.route.SessionAffinity {
		key = x.id
	}
	return pickWeighted(backends, key)
}

// pickWeighted chooses a backend in proportion to the weights. The same key always gives the same backend.
func pickWeighted(backends []configuration.Backend, key string) string {
	total := 0.0
	for _, backend := range backends {
		total += backend.Weight
	}
	const resolution = 1 << 20
	point := float64(hashOf(key)%resolution) / resolution * total
	chosen := ""
	for _, backend := range backends {
		if backend.Weight <= 0 {
			continue
		}
		chosen = backend.Service
		if point < backend.Weight {
			break
		}
		point -= backend.Weight
	}
	return chosen
}

// hashOf hashes a key with FNV-1a and the finalizer of MurmurHash3, so that every bit of the key affects every bit of
// the hash.
func hashOf(key string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}
