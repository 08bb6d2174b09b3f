package opensearch

import (
	"encoding/binary"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"unicode/utf16"

	"github.com/twmb/murmur3"
)

// shards returns the shards of a search: those that preference names, the one that routing leads to, or all.
func (f *Front) shards(params url.Values) (list []int, e *apiError) {
	pref, routing := params.Get("preference"), params.Get("routing")
	switch {
	case pref != "" && routing != "":
		return nil, illegalArgument("[preference] and [routing] cannot be given together here")
	case routing != "":
		return []int{Shard(routing, f.Settings.Load().Shards)}, nil
	case pref == "":
		for s := range f.Settings.Load().Shards {
			list = append(list, s)
		}
		return list, nil
	}
	names, ok := strings.CutPrefix(pref, "_shards:")
	if !ok {
		return nil, illegalArgument("the only [preference] supported here is _shards:N,N")
	}
	for _, n := range strings.Split(names, ",") {
		s, err := strconv.Atoi(n)
		if err != nil || s < 0 || s >= f.Settings.Load().Shards || slices.Contains(list, s) {
			return nil, illegalArgument("[preference] names no shard, or one twice: [%.20s]", n)
		}
		list = append(list, s)
	}
	return list, nil
}

// Shard is the shard of a routing value among n, as OpenSearch computes it: murmur3 of the
// value in UTF-16, over the routing shards, of which there are n times a power of two, up to 1,024.
func Shard(routing string, n int) int {
	factor := 1
	for n*factor*2 <= 1024 {
		factor *= 2
	}
	hash := int(routingHash(routing))
	return ((hash%(n*factor) + n*factor) % (n * factor)) / factor
}

// routingHash is murmur3 of the UTF-16 of a routing value.
func routingHash(routing string) int32 {
	var b []byte
	for _, u := range utf16.Encode([]rune(routing)) {
		b = binary.LittleEndian.AppendUint16(b, u)
	}
	return int32(murmur3.Sum32(b))
}
