package coordinator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"pulleygw.example/pulleygw/internal/tier/changelog"
)

// runOperator sends changes based on the generation that it reads, each one until it is acknowledged or rejected.
func (r *partitionRun) runOperator(name string) {
	for number := 0; r.pause(); number++ {
		base, read := r.readGeneration()
		if !read {
			continue
		}
		generation := base + 1 + uint64(r.randomInt(2))
		body := configurationOf(int(generation), fmt.Sprintf("%s%d", name, number))
		sent := sentChange{change: changelog.NewChange(base, generation, []byte(body)), generation: generation}
		for sent.status == 0 || sent.status == http.StatusServiceUnavailable {
			sent.status, _ = r.call(http.MethodPut, "/v1/config", fmt.Sprint(base), body)
			if !r.pause() {
				break
			}
		}
		sent.at = time.Now()
		r.mu.Lock()
		r.changes = append(r.changes, sent)
		r.mu.Unlock()
	}
}

// readGeneration reads the current generation, which must not be older than any that was acknowledged before.
func (r *partitionRun) readGeneration() (uint64, bool) {
	required := r.newestAcknowledged(time.Now())
	status, answer := r.call(http.MethodGet, "/v1/config", "", "")
	if status != http.StatusOK {
		return 0, false
	}
	read := struct{ Generation uint64 }{}
	if err := json.Unmarshal([]byte(answer), &read); err != nil || read.Generation < required {
		r.addProblem("read generation %d after %d was acknowledged, error %v", read.Generation, required, err)
	}
	return read.Generation, true
}

// pause waits a random time. It returns false if the workload was stopped.
func (r *partitionRun) pause() bool {
	select {
	case <-time.After(time.Duration(20+r.randomInt(150)) * time.Millisecond):
		return true
	case <-r.stopped:
		return false
	}
}

// drainInstances lets one instance after another register and then drain, and records when the drain was acknowledged.
func (r *partitionRun) drainInstances() {
	for number := 0; ; number++ {
		id := fmt.Sprintf("i-%d", number)
		for sequence, state := 1, "ready"; state != "done"; sequence++ {
			if !r.pause() {
				return
			}
			status, _ := r.sendHeartbeat(id, state, sequence)
			switch {
			case status == http.StatusOK && state == "ready":
				state = "draining"
			case status == http.StatusOK:
				state = "done"
				r.mu.Lock()
				r.drained[id] = time.Now()
				r.mu.Unlock()
			}
		}
	}
}

// sendHeartbeat sends a heartbeat to a random coordinator. Drains are sent by call, which checks that an isolated coordinator does
// not acknowledge them. Other heartbeats are not checked, because an isolated coordinator acknowledges them until it notices that
// it has lost contact with the quorum.
func (r *partitionRun) sendHeartbeat(id, state string, sequence int) (int, string) {
	path := "/v1/instances/" + id
	if state == "draining" {
		return r.call(http.MethodPut, path, "", heartbeat(state, sequence))
	}
	return r.process(r.names[r.randomInt(len(r.names))]).send(http.MethodPut, path, "", heartbeat(state, sequence))
}

// retireMachine starts the retirement of a machine, then keeps requesting its state. Once completed, it must stay completed.
func (r *partitionRun) retireMachine(name string) {
	status := 0
	for status != http.StatusOK && r.pause() {
		status, _ = r.call(http.MethodPost, "/v1/retire/"+name, "", `{"deadlineS":10}`)
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			r.addProblem("retirement rejected with %d", status)
			return
		}
	}
	for r.pause() {
		status, answer := r.call(http.MethodGet, "/v1/retire/"+name, "", "")
		switch {
		case status == http.StatusServiceUnavailable:
		case answer == `{"state":"completed"}`:
			r.markRetired(name)
		case answer != `{"state":"running"}` || r.isRetired(name):
			r.addProblem("unexpected state of the retirement of %s: %d %s, completed before: %v", name, status, answer, r.isRetired(name))
		}
	}
}

func (r *partitionRun) markRetired(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retired[name] = true
}

func (r *partitionRun) isRetired(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retired[name]
}
