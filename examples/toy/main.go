// Command toy stands in for the gatherer's surroundings: it serves the discovery agent and every lot store
// that a gatherer's configuration file names, all on this machine, until it is interrupted.
package main

import (
	"flag"
	"log"
	"net"
	"os"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/net/opensearch"
	"pulleygw.example/pulleygw/internal/standin"
)

func main() {
	config := flag.String("config", "examples/config.json", "the gatherer's configuration file")
	speak := flag.String("speak", "frames", "what the lot stores speak: frames or opensearch")
	flag.Parse()
	text, err := os.ReadFile(*config)
	if err != nil {
		log.Fatal(err)
	}
	root := gjson.ParseBytes(text)
	shards := int(root.Get("settings.familyInfo.shards").Int())
	script := &standin.Script{} // every part is a hit
	for _, h := range root.Get("known.hosts").Array() {
		l := listen(h.Get("dial").String())
		if *speak == "opensearch" {
			go standin.OpenSearch(l, script, func(r string) int { return opensearch.Shard(r, shards) })
		} else {
			go standin.Frames(l, script)
		}
	}
	log.Printf("%d lot stores and discovery at %s", len(root.Get("known.hosts").Array()), root.Get("discovery"))
	standin.Discovery(listen(root.Get("discovery").String()), root.Get("known").Raw)
}

func listen(addr string) net.Listener {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		log.Fatal(err)
	}
	return l
}
