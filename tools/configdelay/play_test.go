package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const example = `
  -9.3000 core-a 2026-06-26T01:32:18.627Z [INFO]  coordinator: configuration committed: generation=2 bytes=3376
  -9.2000 edge-a/proxy 2026-06-26T01:32:18.630Z [INFO]  proxy: started: node=edge-a
  -9.1000 edge-a/proxy 2026-06-26T01:32:18.630Z [INFO]  proxy: configuration applied: generation=2 routes=15
   5.0000 core-a 2026-06-26T01:32:35.531Z [INFO]  coordinator: configuration committed: generation=5 bytes=3376
   5.0100 core-b 2026-06-26T01:32:35.541Z [INFO]  coordinator: configuration committed: generation=5 bytes=3376
   5.0040 edge-a/proxy 2026-06-26T01:32:35.535Z [INFO]  proxy: configuration applied: generation=5 routes=15
   5.2500 edge-b/proxy 2026-06-26T01:32:35.781Z [INFO]  proxy: configuration applied: generation=6 routes=15
   6.0000 edge-c/proxy 2026-06-26T01:32:36.530Z [INFO]  proxy: started: node=edge-c
   6.5000 edge-c/proxy 2026-06-26T01:32:37.030Z [INFO]  proxy: configuration applied: generation=5 routes=15
class                asked  in aim   late
`

// Counted are configurations committed during the traffic, at proxies that ran all the time; a later generation counts too.
func TestDelaysAreCountedFromTheFirstCommit(t *testing.T) {
	p, err := readPlay(strings.NewReader(example))
	assert.NilError(t, err)
	found := make(map[string]float64)
	for _, one := range p.delays() {
		assert.Equal(t, one.generation, uint64(5))
		found[one.proxy] = one.seconds
	}
	assert.Equal(t, len(found), 2, "%v", found)
	assert.Assert(t, found["edge-a/proxy"] > 0.0039 && found["edge-a/proxy"] < 0.0041)
	assert.Assert(t, found["edge-b/proxy"] > 0.249 && found["edge-b/proxy"] < 0.251)
}

func TestOtherTextIsIgnored(t *testing.T) {
	p, err := readPlay(strings.NewReader("worth 0.9\n-0.0001 x\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(p.delays()), 0)
}
