package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// routeKind names a route of the configuration.
type routeKind string

const (
	fetchRoute  routeKind = "fetch" // idempotent
	orderRoute  routeKind = "order" // not idempotent
	draftRoute  routeKind = "draft" // a resumable stream
	talkRoute   routeKind = "talk"  // a turn that is stored
	markerRoute routeKind = "mark"  // shows which configuration is in force
)

var routes = []routeKind{fetchRoute, orderRoute, draftRoute, talkRoute}

// maxOutputTokens is the limit of output tokens of each turn.
const maxOutputTokens = 18

// callTime is the deadline that clients send, and gracePeriod how much longer they wait.
const (
	callTime    = 2500 * time.Millisecond
	gracePeriod = 900 * time.Millisecond
	// abandonedRunTime is how long a store would work on a request whose client disconnects: longer than the bounds of GONE,
	// so that an edge that does not cancel it is found.
	abandonedRunTime = 2200 * time.Millisecond
)

// settingsOf reads a machine's settings; the zero value if they are invalid.
func settingsOf(settingsPath string) *settings.Settings {
	loaded, err := settings.Load(settingsPath)
	if err != nil {
		return &settings.Settings{}
	}
	return loaded
}

// callOf returns a call of a route with its own text.
func callOf(kind routeKind, text string) testbed.Call {
	call := testbed.Call{RequestID: testbed.NewRequestID(), Method: "POST", Body: []byte(text), Deadline: callTime, GracePeriod: gracePeriod}
	switch kind {
	case fetchRoute:
		call.Method, call.Body, call.Path = "GET", nil, testbed.FetchPrefix+strings.Fields(text)[0]+"?"+call.RequestID
	case orderRoute:
		call.Path = testbed.OrderPrefix + "o"
	case draftRoute:
		call.Path, call.TokensOut = testbed.DraftPrefix+"d", maxOutputTokens
	case talkRoute:
		call.Path, call.TokensOut = testbed.TalkPrefix+"t", maxOutputTokens
	}
	return call
}

// send sends a call once, records the attempt and checks the response. Previous is the turn that it continues, or nil.
func (h *harness) send(
	ctx context.Context, client *testbed.Client, edge *testbed.Machine, kind routeKind, call testbed.Call, previous *turn,
) *Attempt {
	prompt := call.Body
	if previous != nil {
		call.PreviousTurn = previous.id
		prompt = previous.next(call.Body)
	}
	attempt := &Attempt{
		ID: call.RequestID, Route: string(kind), Front: edge.Settings.Listen.Front, Method: call.Method, Path: call.Path,
		Program: call.Program, Previous: call.PreviousTurn, Body: call.Body, Prompt: prompt, Sent: time.Now(), Deadline: call.Deadline,
	}
	reply := client.Do(ctx, attempt.Front, call)
	attempt.Ended, attempt.Status, attempt.BodySent = time.Now(), reply.Status, reply.Sent
	if reply.Err != nil {
		attempt.Error = reply.Err.Error()
		attempt.Disconnected = ctx.Err() != nil
	}
	if kind == draftRoute || kind == talkRoute {
		attempt.Events = bytes.Count(reply.Body, []byte("\n\n"))
	}
	h.checkReply(kind, call, attempt, reply)
	h.add(attempt)
	return attempt
}

// checkReply checks a response without regard to others.
func (h *harness) checkReply(kind routeKind, call testbed.Call, attempt *Attempt, reply testbed.Reply) {
	var wrong error
	switch {
	case reply.Status == 200 && reply.Err == nil && (kind == draftRoute || kind == talkRoute):
		wrong = reply.CheckEvents(call, attempt.Prompt)
	case reply.Status == 200 && reply.Err == nil:
		wrong = reply.CheckPlain(call)
	case reply.Status == 200 && (kind == draftRoute || kind == talkRoute):
		wrong = reply.CheckEventsSoFar(call, attempt.Prompt)
	case reply.Err == nil:
		wrong = reply.CheckFailure()
	}
	if wrong != nil {
		attempt.Bad = wrong.Error()
		h.ReportViolation("MIXED", "%s: %v", kind, wrong)
	}
	if reply.Err == nil && reply.Status == 503 && reply.Header.Get("Retry-After") == "" {
		h.ReportViolation("REFUSED", "%s %s got 503 without Retry-After", kind, attempt.ID)
	}
	if reply.Err != nil || reply.Status < 300 || reply.Status >= 500 || kind == markerRoute {
		return
	}
	switch {
	case attempt.isNotExecuted():
	case reply.Status == 404 && attempt.Previous != "":
		h.ReportViolation("LOST", "turn %s continues %s, which was answered completely, and got 404 at %s", attempt.ID,
			attempt.Previous, attempt.Front)
	default:
		h.ReportViolation("DENIED", "%s %s got %d at %s", kind, attempt.ID, reply.Status, attempt.Front)
	}
}

// turn is a turn that was answered completely.
type turn struct {
	id      string
	prompt  []byte
	program string
}

// next returns the prompt of a turn that continues this one.
func (t *turn) next(input []byte) []byte {
	prompt := append([]byte{}, t.prompt...)
	prompt = append(prompt, testbed.Output(testbed.EventData(t.prompt, testbed.EventCount(maxOutputTokens)))...)
	return append(prompt, input...)
}

// turnSet records what was acknowledged to programs.
type turnSet struct {
	harness *harness

	mu       sync.Mutex
	answered []*turn
	budgets  map[string]int
	spent    map[string]bool
}

func (s *turnSet) add(answered *turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = append(s.answered, answered)
}

func (s *turnSet) beginProgram(program string, budget int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.budgets == nil {
		s.budgets, s.spent = make(map[string]int), make(map[string]bool)
	}
	s.budgets[program] = budget
}

// sample draws some turns, the newest ones always among them.
func (s *turnSet) sample(random *rand.Rand, count int) []*turn {
	s.mu.Lock()
	defer s.mu.Unlock()
	drawn := append([]*turn(nil), s.answered...)
	newest := drawn[max(0, len(drawn)-count/2):]
	rest := drawn[:len(drawn)-len(newest)]
	random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(append([]*turn(nil), newest...), rest[:min(count/2, len(rest))]...)
}

// maxAttempts of a client for one request.
const maxAttempts = 6

// runPrograms runs programs one after the other until ctx ends.
func (h *harness) runPrograms(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(h.plan.Seed, uint64(worker)))
	client := testbed.NewClient()
	defer client.Close()
	for number := 0; ctx.Err() == nil; number++ {
		program := fmt.Sprintf("p%d-%d", worker, number)
		budget := maxOutputTokens * (2 + random.IntN(8))
		h.turns.beginProgram(program, budget)
		h.runProgram(ctx, client, random, program, budget)
	}
}

func (h *harness) runProgram(ctx context.Context, client *testbed.Client, random *rand.Rand, program string, budget int) {
	var last *turn
	for number := range 3 + random.IntN(8) {
		if ctx.Err() != nil {
			return
		}
		if last != nil && random.IntN(4) == 0 {
			h.runSubAgents(ctx, client, program, budget, last, random.Uint64())
		}
		completed, ended := h.runTurn(ctx, client, random, program, budget, last, fmt.Sprintf("%s turn %d\n", program, number))
		if ended {
			return
		}
		if completed != nil {
			last = completed
		}
	}
}

// runSubAgents runs two turns concurrently that continue the same one.
func (h *harness) runSubAgents(ctx context.Context, client *testbed.Client, program string, budget int, from *turn, seed uint64) {
	var group sync.WaitGroup
	for helper := range 2 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(helper)))
			h.runTurn(ctx, client, random, program, budget, from, fmt.Sprintf("%s helper %d\n", program, helper))
		})
	}
	group.Wait()
}

// runTurn runs a turn with the retries of a client, each at another edge. It returns the turn if it was answered completely,
// and whether the program must end.
func (h *harness) runTurn(
	ctx context.Context, client *testbed.Client, random *rand.Rand, program string, budget int, previous *turn, text string,
) (*turn, bool) {
	first := random.IntN(len(h.Edges))
	for number := range maxAttempts {
		call := callOf(talkRoute, text)
		call.Program, call.Session, call.Budget = program, program, budget
		attemptContext, cancel := h.maybeDisconnecting(ctx, random)
		attempt := h.send(attemptContext, client, h.Edges[(first+number)%len(h.Edges)], talkRoute, call, previous)
		cancel()
		switch {
		case attempt.Status == 200 && attempt.isComplete():
			completed := &turn{id: attempt.ID, prompt: attempt.Prompt, program: program}
			h.turns.add(completed)
			return completed, false
		case attempt.Status == statusBudgetSpent && attempt.isComplete():
			h.Count("program's budget spent")
			return nil, true
		case attempt.Disconnected && ctx.Err() == nil:
			h.Count("client disconnected from its turn")
			return nil, false
		}
		if !clock.Sleep(ctx, time.Duration(20+random.IntN(80))*time.Millisecond) {
			return nil, true
		}
	}
	return nil, false
}

// maybeDisconnecting returns a context that ends early at random, as for a client that disconnects.
func (h *harness) maybeDisconnecting(ctx context.Context, random *rand.Rand) (context.Context, context.CancelFunc) {
	if random.IntN(12) > 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(1+random.IntN(90))*time.Millisecond)
}

// runPlain sends requests to the other routes until ctx ends.
func (h *harness) runPlain(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(h.plan.Seed, 1000+uint64(worker)))
	client := testbed.NewClient()
	defer client.Close()
	kinds := []routeKind{fetchRoute, orderRoute, orderRoute, draftRoute}
	for number := 0; ctx.Err() == nil; number++ {
		kind := kinds[random.IntN(len(kinds))]
		h.sendPlain(ctx, client, random, kind, fmt.Sprintf("%s-%d-%d", kind, worker, number))
		clock.Sleep(ctx, time.Duration(random.IntN(25))*time.Millisecond)
	}
}

// sendPlain sends one request with the retries that its kind allows.
func (h *harness) sendPlain(ctx context.Context, client *testbed.Client, random *rand.Rand, kind routeKind, text string) {
	first := random.IntN(len(h.Edges))
	for number := range maxAttempts {
		attemptContext, cancel := h.maybeDisconnecting(ctx, random)
		call := callOf(kind, text)
		if _, disconnects := attemptContext.Deadline(); disconnects && kind == fetchRoute {
			call.RunDelay = abandonedRunTime
		}
		attempt := h.send(attemptContext, client, h.Edges[(first+number)%len(h.Edges)], kind, call, nil)
		cancel()
		retriable := kind == fetchRoute || attempt.isNotExecuted()
		if attempt.Status == 200 && attempt.isComplete() || !retriable || attempt.Disconnected {
			return
		}
		if !clock.Sleep(ctx, time.Duration(10+random.IntN(60))*time.Millisecond) {
			return
		}
	}
}
