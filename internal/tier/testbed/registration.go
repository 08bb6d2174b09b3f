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
	callTimeout       = time.Second // of one call to the control API
	minBackoff        = 20 * time.Millisecond
	maxBackoff        = 500 * time.Millisecond
	maxReplyBytes     = 4 << 10
)

// errNoControlAddress is returned while the registry of a store names no address.
var errNoControlAddress = eris.New("no control address is known")

// heartbeat is the body of a registration, in the form of the control API.
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

// registration keeps a store registered by heartbeats.
type registration struct {
	store  *Store
	client *http.Client

	mu       sync.Mutex
	state    string
	sequence uint64
	next     string // heartbeatUrl of the last reply, empty: none
	last     string // URL of the last acknowledgement
	cancel   context.CancelFunc
}

func newRegistration(store *Store) *registration {
	return &registration{store: store, state: stateReady, client: &http.Client{Timeout: callTimeout}}
}

// start registers the store and sends heartbeats until stop is called.
func (r *registration) start(ctx context.Context) error {
	if err := r.announce(ctx, stateReady); err != nil {
		return err
	}
	heartbeats, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	r.cancel = cancel
	r.mu.Unlock()
	go r.sendHeartbeats(heartbeats)
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

func (r *registration) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = r.put(ctx) // the next heartbeat is the retry
		}
	}
}

// announce sets the state and retries until it is acknowledged.
func (r *registration) announce(ctx context.Context, state string) error {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	return retry(ctx, r.put)
}

// deregister stops the heartbeats and retries until the deregistration is acknowledged.
func (r *registration) deregister(ctx context.Context) error {
	r.stop()
	return retry(ctx, func(ctx context.Context) error {
		return r.callEach(ctx, http.MethodDelete, nil)
	})
}

// deregisterAt stops the heartbeats and deregisters the store at one address, without a retry.
func (r *registration) deregisterAt(ctx context.Context, address string) error {
	r.stop()
	return r.call(ctx, http.MethodDelete, "http://"+address+"/v1/instances/"+r.store.options.ID, nil)
}

// put sends a heartbeat with the next sequence number.
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

// delayedHeartbeat implements Store.DelayedHeartbeat.
func (r *registration) delayedHeartbeat() (deliver func(ctx context.Context, address string) error) {
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

// acknowledgedBy returns the host of the last acknowledgement, empty before the first.
func (r *registration) acknowledgedBy() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	parsed, err := url.Parse(r.last)
	if err != nil {
		return ""
	}
	return parsed.Hostname()
}

// heartbeat returns the body of the next heartbeat; mu is held.
func (r *registration) heartbeat() heartbeat {
	options := r.store.options
	body := heartbeat{
		Backend: options.Backend, Address: r.store.Address(), Zone: options.Zone, Generation: "v1",
		Slots: options.Slots, State: r.state, Sequence: r.sequence,
	}
	if options.Engine {
		body.Stage = "both"
		body.Models = []modelName{{Name: "m", Generation: 1, Adapters: []string{}}}
	}
	return body
}

// callEach calls one coordinator after the other until one acknowledges, the one that the last reply named first.
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
	err := errNoControlAddress
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
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 || len(text) > maxReplyBytes {
		return eris.Errorf("%s %s: %s %s", method, address, response.Status, text)
	}
	r.mu.Lock()
	r.last = address
	r.mu.Unlock()
	reply := struct {
		HeartbeatURL string `json:"heartbeatUrl"`
	}{}
	if len(text) > 0 && json.Unmarshal(text, &reply) == nil {
		r.mu.Lock()
		r.next = reply.HeartbeatURL
		r.mu.Unlock()
	}
	return nil
}

// retry calls with exponential backoff until there is no error or ctx ends. It returns the last error.
func retry(ctx context.Context, call func(context.Context) error) error {
	backoff := minBackoff
	for {
		err := call(ctx)
		if err == nil {
			return nil
		}
		timer := time.NewTimer(backoff)
		select {
		case <-ctx.Done():
			timer.Stop()
			return eris.Wrap(err, ctx.Err().Error())
		case <-timer.C:
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
