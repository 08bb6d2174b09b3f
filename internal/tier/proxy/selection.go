package proxy

import (
	"hash/fnv"

	"pulleygw.example/pulleygw/internal/tier/configuration"
)

// pickService chooses one of the route's services by weight. With session affinity all requests of a program get the same
// service.
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

// pickWeighted chooses a backend with a probability proportional to its weight and returns its service. The choice
// depends only on the key.
func pickWeighted(backends []configuration.Backend, key string) string {
	total := 0.0
	for _, backend := range backends {
		total += backend.Weight
	}
	const resolution = 1 << 20
	point := float64(hashKey(key)%resolution) / resolution * total
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

// hashKey hashes a key with FNV-1a and a part of the finalizer of MurmurHash3, so that also keys that differ in few bits
// are distributed evenly.
func hashKey(key string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}
