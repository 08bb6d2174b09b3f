package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// ControlResponse is a definite response of the control API: it says whether the request took effect.
type ControlResponse struct {
	Status int
	Body   []byte
}

// Operator sends requests to the control API, to any coordinator that answers.
type Operator struct {
	addresses []string
	client    *http.Client
	calls     atomic.Uint64 // selects the next address, round robin
}

// NewOperator creates an operator that uses these control addresses.
func NewOperator(addresses []string) *Operator {
	return &Operator{addresses: addresses, client: &http.Client{Timeout: callTimeout}}
}

// PutConfiguration puts a configuration that builds on a version, and retries until the response is definite.
func (o *Operator) PutConfiguration(ctx context.Context, ifMatch uint64, body []byte) (ControlResponse, error) {
	return o.request(ctx, http.MethodPut, "/v1/config", body, strconv.FormatUint(ifMatch, 10))
}

// Configuration returns the newest configuration.
func (o *Operator) Configuration(ctx context.Context) (ControlResponse, error) {
	return o.request(ctx, http.MethodGet, "/v1/config", nil, "")
}

// Retire requests that a machine is emptied within a deadline.
func (o *Operator) Retire(ctx context.Context, node string, deadline time.Duration) (ControlResponse, error) {
	body, err := json.Marshal(struct {
		DeadlineS float64 `json:"deadlineS"`
	}{deadline.Seconds()})
	if err != nil {
		return ControlResponse{}, err
	}
	return o.request(ctx, http.MethodPost, "/v1/retire/"+node, body, "")
}

// Retirement returns the state of a machine's retirement: running or completed.
func (o *Operator) Retirement(ctx context.Context, node string) (string, error) {
	response, err := o.request(ctx, http.MethodGet, "/v1/retire/"+node, nil, "")
	if err != nil {
		return "", err
	}
	status := struct {
		State string `json:"state"`
	}{}
	if err := json.Unmarshal(response.Body, &status); err != nil {
		return "", eris.Wrapf(err, "status %d", response.Status)
	}
	return status.State, nil
}

// request sends a request to one coordinator after the other until a response is definite or ctx ends.
func (o *Operator) request(ctx context.Context, method, path string, body []byte, ifMatch string) (ControlResponse, error) {
	definite := ControlResponse{}
	err := retry(ctx, func(ctx context.Context) error {
		address := o.addresses[o.calls.Add(1)%uint64(len(o.addresses))]
		response, err := o.call(ctx, method, "http://"+address+path, body, ifMatch)
		if err != nil {
			return err
		}
		if response.isIndefinite() {
			return eris.Errorf("%s %s: %d %s", method, path, response.Status, response.Body)
		}
		definite = response
		return nil
	})
	return definite, err
}

// isIndefinite reports whether the request has to be retried: it may or may not have taken effect, or was not accepted yet.
func (r ControlResponse) isIndefinite() bool {
	return r.Status >= http.StatusInternalServerError ||
		r.Status == http.StatusRequestTimeout || r.Status == http.StatusTooManyRequests
}

func (o *Operator) call(ctx context.Context, method, url string, body []byte, ifMatch string) (ControlResponse, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return ControlResponse{}, err
	}
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := o.client.Do(request)
	if err != nil {
		return ControlResponse{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return ControlResponse{}, err
	}
	return ControlResponse{Status: response.StatusCode, Body: text}, nil
}
