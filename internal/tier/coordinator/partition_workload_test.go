package coordinator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"pulleygw.example/pulleygw/internal/tier/changelog"
)

// operate is an operator that puts changes on top of what it reads, and sends a change again until it is clear.
func (r *partitionRun) operate(name string) {
	for number := 0; r.wait(); number++ {
		base, read := r.readBase()
		if !read {
			continue
		}
		generation := base + 1 + uint64(r.draw(2))
		body := configurationOf(int(generation), fmt.Sprintf("%s%d", name, number))
		sent := sentChange{change: changelog.NewChange(base, generation, []byte(body)), generation: generation}
		for sent.status == 0 || sent.status == http.StatusServiceUnavailable {
			sent.status, _ = r.call(http.MethodPut, "/v1/config", fmt.Sprint(base), body)
			if !r.wait() {
				break
			}
		}
		sent.at = time.Now()
		r.mu.Lock()
		r.changes = append(r.changes, sent)
		r.mu.Unlock()
	}
}

// readBase reads the generation in force, which is not to be older than what was acknowledged before.
func (r *partitionRun) readBase() (uint64, bool) {
	least := r.acknowledged(time.Now())
	status, answer := r.call(http.MethodGet, "/v1/config", "", "")
	if status != http.StatusOK {
		return 0, false
	}
	read := struct{ Generation uint64 }{}
	if err := json.Unmarshal([]byte(answer), &read); err != nil || read.Generation < least {
		r.problem("read %d after %d was acknowledged: %v", read.Generation, least, err)
	}
	return read.Generation, true
}

// wait lets a moment pass and reports whether the run goes on.
func (r *partitionRun) wait() bool {
	select {
	case <-time.After(time.Duration(20+r.draw(150)) * time.Millisecond):
		return true
	case <-r.stopped:
		return false
	}
}

// drainStores has one store after another register, drain and wait for the acknowledgement.
func (r *partitionRun) drainStores() {
	for number := 0; ; number++ {
		id := fmt.Sprintf("i-%d", number)
		for sequence, state := 1, "ready"; state != "done"; sequence++ {
			if !r.wait() {
				return
			}
			status, _ := r.storeCall(id, state, sequence)
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

// storeCall is a heartbeat at any coordinator. One that says ready may be committed until the loss of contact is noticed.
func (r *partitionRun) storeCall(id, state string, sequence int) (int, string) {
	path := "/v1/instances/" + id
	if state == "draining" {
		return r.call(http.MethodPut, path, "", heartbeat(state, sequence))
	}
	return r.at(r.names[r.draw(len(r.names))]).send(http.MethodPut, path, "", heartbeat(state, sequence))
}

// retire has a machine emptied and asks until it is.
func (r *partitionRun) retire(name string) {
	status := 0
	for status != http.StatusOK && r.wait() {
		status, _ = r.call(http.MethodPost, "/v1/retire/"+name, "", `{"deadlineS":10}`)
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			r.problem("retirement rejected with %d", status)
			return
		}
	}
	for r.wait() {
		status, answer := r.call(http.MethodGet, "/v1/retire/"+name, "", "")
		switch {
		case status == http.StatusServiceUnavailable:
		case answer == `{"state":"completed"}`:
			r.markEmptied(name)
		case answer != `{"state":"running"}` || r.isEmptied(name):
			r.problem("the retirement of %s is %d %s, completed before: %v", name, status, answer, r.isEmptied(name))
		}
	}
}

func (r *partitionRun) markEmptied(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.emptied[name] = true
}

func (r *partitionRun) isEmptied(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.emptied[name]
}
