// Command toy fakes the peers of a gatherer: it serves the discovery agent and every lot store that a gatherer's
// configuration file names, all on this machine, until it is interrupted.
package main

import (
	"flag"
	"log"
	"net"
	"os"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/testbed"
	"pulleygw.example/pulleygw/internal/gatherer/testbed/lots"
)

// The content of the lot stores that speak opensearch.
const (
	lotsEach = 200 // per range
	refresh  = 5 * time.Second
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
	script := &testbed.Script{} // every attempt is a hit
	corpus := lots.New(1, shards, lotsEach)
	for _, h := range root.Get("known.hosts").Array() {
		l := listen(h.Get("dial").String())
		if *speak == "opensearch" {
			go lots.Serve(l.(*net.TCPListener), corpus.NewReplica(h.Get("host").String(), refresh), lots.Script{}, &lots.Requests{})
		} else {
			go testbed.Frames(l, script)
		}
	}
	log.Printf("%d lot stores and discovery at %s", len(root.Get("known.hosts").Array()), root.Get("discovery"))
	testbed.Discovery(listen(root.Get("discovery").String()), root.Get("known").Raw)
}

// listen listens on an address, or exits.
func listen(addr string) net.Listener {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		log.Fatal(err)
	}
	return l
}
