package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	stateReady    = "ready"
	stateDraining = "draining"

	heartbeatInterval = 400 * time.Millisecond
	callTimeout       = time.Second // a caller of the control API moves on after this silence
	firstPause        = 20 * time.Millisecond
	longestPause      = 500 * time.Millisecond
	largestReply      = 4 << 10
)

// heartbeat is the body of a registration.
type heartbeat struct {
	Backend              string      `json:"backend"`
	Address              string      `json:"address"`
	Zone                 string      `json:"zone"`
	Generation           string      `json:"generation"`
	Slots                int         `json:"slots"`
	State                string      `json:"state"`
	SlowStartRemainingMs int         `json:"coldRemainingMs"`
	Stage                string      `json:"stage,omitempty"`
	Models               []modelName `json:"models,omitempty"`
	Sequence             uint64      `json:"sequence"`
}

type modelName struct {
	Name       string   `json:"name"`
	Generation int      `json:"generation"`
	Adapters   []string `json:"adapters"`
}

// registration tells the tier of one store, again and again.
type registration struct {
	store  *Store
	client *http.Client

	mu       sync.Mutex
	state    string
	sequence uint64
	next     string // heartbeatUrl of the last answer
	last     string // URL of the last acknowledgement
	cancel   context.CancelFunc
}

func newRegistration(store *Store) *registration {
	return &registration{store: store, state: stateReady, client: &http.Client{Timeout: callTimeout}}
}

func (r *registration) start(ctx context.Context) error {
	if err := r.announce(ctx, stateReady); err != nil {
		return err
	}
	beating, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	r.cancel = cancel
	r.mu.Unlock()
	go r.beat(beating)
	return nil
}

func (r *registration) stop() {
	r.mu.Lock()
	cancel := r.cancel
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (r *registration) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = r.put(ctx) // the next beat tries again
		}
	}
}

// announce sets the state and calls until it is acknowledged.
func (r *registration) announce(ctx context.Context, state string) error {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	return retry(ctx, r.put)
}

func (r *registration) leave(ctx context.Context) error {
	r.stop()
	return retry(ctx, func(ctx context.Context) error {
		return r.callEach(ctx, http.MethodDelete, nil)
	})
}

// leaveAt says once, to one address, that the store is gone.
func (r *registration) leaveAt(ctx context.Context, address string) error {
	r.stop()
	return r.call(ctx, http.MethodDelete, "http://"+address+"/v1/instances/"+r.store.options.ID, nil)
}

func (r *registration) put(ctx context.Context) error {
	r.mu.Lock()
	r.sequence++
	body, err := json.Marshal(r.heartbeat())
	r.mu.Unlock()
	if err != nil {
		return err
	}
	return r.callEach(ctx, http.MethodPut, body)
}

// delayed makes a heartbeat now and returns what delivers it, however late: once, to an address.
func (r *registration) delayed() (deliver func(ctx context.Context, address string) error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	body, err := json.Marshal(r.heartbeat())
	return func(ctx context.Context, address string) error {
		if err != nil {
			return err
		}
		return r.call(ctx, http.MethodPut, "http://"+address+"/v1/instances/"+r.store.options.ID, body)
	}
}

// acknowledgedBy is the host of the last acknowledgement, empty before the first.
func (r *registration) acknowledgedBy() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	parsed, err := url.Parse(r.last)
	if err != nil {
		return ""
	}
	return parsed.Hostname()
}

func (r *registration) heartbeat() heartbeat {
	options := r.store.options
	said := heartbeat{
		Backend: options.Backend, Address: r.store.Address(), Zone: options.Zone, Generation: "v1",
		Slots: options.Slots, State: r.state, Sequence: r.sequence,
	}
	if options.Engine {
		said.Stage = "both"
		said.Models = []modelName{{Name: "m", Generation: 1, Adapters: []string{}}}
	}
	return said
}

// callEach calls one address after the other until one acknowledges.
func (r *registration) callEach(ctx context.Context, method string, body []byte) error {
	r.mu.Lock()
	next := r.next
	r.mu.Unlock()
	urls := make([]string, 0, 4)
	if next != "" {
		urls = append(urls, next)
	}
	for _, address := range r.store.options.Registry() {
		urls = append(urls, "http://"+address+"/v1/instances/"+r.store.options.ID)
	}
	err := eris.New("no control address is known")
	for _, url := range urls {
		if err = r.call(ctx, method, url, body); err == nil {
			return nil
		}
	}
	r.mu.Lock()
	r.next = ""
	r.mu.Unlock()
	return err
}

func (r *registration) call(ctx context.Context, method, address string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, largestReply+1))
	if err != nil {
		return err
	}
	if answer.StatusCode/100 != 2 || len(text) > largestReply {
		return eris.Errorf("%s %s: %s %s", method, address, answer.Status, text)
	}
	r.mu.Lock()
	r.last = address
	r.mu.Unlock()
	said := struct {
		HeartbeatURL string `json:"heartbeatUrl"`
	}{}
	if len(text) > 0 && json.Unmarshal(text, &said) == nil {
		r.mu.Lock()
		r.next = said.HeartbeatURL
		r.mu.Unlock()
	}
	return nil
}

// retry calls with a growing pause until there is no error or ctx ends.
func retry(ctx context.Context, call func(context.Context) error) error {
	pause := firstPause
	for {
		err := call(ctx)
		if err == nil {
			return nil
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return eris.Wrap(err, ctx.Err().Error())
		case <-timer.C:
		}
		pause = min(2*pause, longestPause)
	}
}
