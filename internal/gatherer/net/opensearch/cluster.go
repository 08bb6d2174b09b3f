package opensearch

import (
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
)

// info is the response that client libraries request first.
func (f *Front) info() *http1.Response {
	return jsonResponse(200, map[string]any{"name": f.Name, "cluster_name": "pulleygw", "cluster_uuid": f.Name,
		"version": map[string]any{"distribution": "opensearch", "number": apiVersion, "build_type": "pulleygw", "lucene_version": "9.0.0",
			"minimum_wire_compatibility_version": apiVersion, "minimum_index_compatibility_version": apiVersion},
		"tagline": "pulleygw speaks a part of the OpenSearch API; see docs/api.md"})
}

// apiVersion is the version of the API that the front follows.
const apiVersion = "2.11.0"

// health is the state of the cluster by the list of lot stores: red where a range has no ready replica, yellow where one has
// a single one, green otherwise.
func (f *Front) health() *http1.Response {
	set := f.Settings.Load()
	s := f.Core.Snapshot()
	replicas := make([]int, set.Policy.Cells)
	nodes := 0
	for _, x := range s.Servers {
		if x.State != decision.Ready || slices.Contains(s.Detached, x.Name) {
			continue
		}
		nodes++
		for j := range set.Policy.Width { // shards that begin at a cell are held by Width cells in a row
			if len(replicas) > 0 {
				replicas[(x.Cell-j+len(replicas))%len(replicas)]++
			}
		}
	}
	status, active := "green", 0
	for shard := range set.Shards {
		switch n := replicas[shard%len(replicas)]; {
		case n == 0:
			status = "red"
		case n == 1 && status == "green":
			status = "yellow"
			active++
		default:
			active++
		}
	}
	return jsonResponse(200, map[string]any{"cluster_name": "pulleygw", "status": status, "timed_out": false, "number_of_nodes": nodes,
		"number_of_data_nodes": nodes, "active_primary_shards": active, "active_shards": active, "relocating_shards": 0,
		"initializing_shards": 0, "unassigned_shards": set.Shards - active, "delayed_unassigned_shards": 0, "number_of_pending_tasks": 0,
		"number_of_in_flight_fetch": 0, "task_max_waiting_in_queue_millis": 0,
		"active_shards_percent_as_number": 100 * float64(active) / float64(max(set.Shards, 1))})
}
