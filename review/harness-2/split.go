//go:build review

package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// unknown is a service that no configuration has.
const unknown = "gone-svc"

// invalid: an operator sends a configuration in which a route names a service that is not known.
func invalid(ctx context.Context, r *run) (int, error) {
	if err := r.start(ctx, func(*testbed.Configuration) {}); err != nil {
		return couldNot, err
	}
	next := testbed.ExampleConfiguration(2)
	body := map[string]any{}
	if err := json.Unmarshal(next.Body(), &body); err != nil {
		return couldNot, err
	}
	route := body["routes"].([]any)[0].(map[string]any)
	known := route["backend"].(string)
	route["weightedSplit"] = []any{map[string]any{"backend": known, "weight": 100}}
	delete(route, "backend")
	if r.trouble {
		route["backend"] = unknown
	}
	text, err := json.Marshal(body)
	if err != nil {
		return couldNot, err
	}
	r.note("PUT /v1/config, If-Match 1: %s", text)
	operator := testbed.NewOperator(r.tier.Controls())
	put, err := operator.PutConfiguration(ctx, 1, text)
	if err != nil {
		return couldNot, err
	}
	r.note("answer: %d %s", put.Status, put.Body)
	read, err := operator.Configuration(ctx)
	if err != nil {
		return couldNot, err
	}
	inForce := strings.Contains(string(read.Body), strconv.Quote(unknown))
	r.note("GET /v1/config: %d %s", read.Status, read.Body)
	r.say("trouble %v: the configuration got %d; the one read back names the unknown service: %v", r.trouble, put.Status, inForce)
	switch {
	case !r.trouble && put.Status != http.StatusOK:
		return broken, nil
	case r.trouble && (put.Status == http.StatusOK || inForce):
		return broken, nil
	}
	return held, nil
}
