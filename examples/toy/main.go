// Command toy stands in for the gatherer's surroundings: it serves the discovery agent and every lot store
// that a gatherer's configuration file names, all on this machine, until it is interrupted.
package main

import (
	"flag"
	"log"
	"net"
	"os"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/standin"
	"pulleygw.example/pulleygw/internal/gatherer/standin/lots"
)

// What the lot stores that speak opensearch hold.
const (
	lotsEach = 200 // by range
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
	script := &standin.Script{} // every part is a hit
	corpus := lots.New(1, shards, lotsEach)
	for _, h := range root.Get("known.hosts").Array() {
		l := listen(h.Get("dial").String())
		if *speak == "opensearch" {
			go lots.Serve(l.(*net.TCPListener), corpus.NewCopy(h.Get("host").String(), refresh), lots.Script{}, &lots.Asked{})
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
