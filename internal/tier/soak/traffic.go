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
	fetchRoute routeKind = "fetch" // may be repeated
	orderRoute routeKind = "order" // runs once
	draftRoute routeKind = "draft" // a stream that may be resumed
	talkRoute  routeKind = "talk"  // a turn that is kept
	markRoute  routeKind = "mark"  // tells which configuration is in force
)

var everyRoute = []routeKind{fetchRoute, orderRoute, draftRoute, talkRoute}

// mostTokens is the most that one turn generates.
const mostTokens = 18

// callTime is how long clients say that they wait, and lateness how much longer they do.
const (
	callTime = 2500 * time.Millisecond
	lateness = 900 * time.Millisecond
)

// settingsOf reads a machine's settings; nothing where they can't be used.
func settingsOf(settingsPath string) *settings.Settings {
	told, err := settings.Load(settingsPath)
	if err != nil {
		return &settings.Settings{}
	}
	return told
}

// callOf is a call of a route with a text of its own.
func callOf(kind routeKind, text string) testbed.Call {
	call := testbed.Call{RequestID: testbed.NewRequestID(), Method: "POST", Body: []byte(text), Deadline: callTime, GracePeriod: lateness}
	switch kind {
	case fetchRoute:
		call.Method, call.Body, call.Path = "GET", nil, testbed.FetchPrefix+strings.Fields(text)[0]+"?"+call.RequestID
	case orderRoute:
		call.Path = testbed.OrderPrefix + "o"
	case draftRoute:
		call.Path, call.TokensOut = testbed.DraftPrefix+"d", mostTokens
	case talkRoute:
		call.Path, call.TokensOut = testbed.TalkPrefix+"t", mostTokens
	}
	return call
}

// try sends a call once and records and checks what came of it. Before is the turn that it goes on from.
func (w *world) try(
	ctx context.Context, client *testbed.Client, edge *testbed.Machine, kind routeKind, call testbed.Call, before *turn,
) *Attempt {
	prompt := call.Body
	if before != nil {
		call.PreviousTurn = before.id
		prompt = before.next(call.Body)
	}
	attempt := &Attempt{
		ID: call.RequestID, Route: string(kind), Front: edge.Settings.Listen.Front, Method: call.Method, Path: call.Path,
		Program: call.Program, Previous: call.PreviousTurn, Body: call.Body, Prompt: prompt, Sent: time.Now(),
	}
	reply := client.Do(ctx, attempt.Front, call)
	attempt.Ended, attempt.Status = time.Now(), reply.Status
	if reply.Err != nil {
		attempt.Error = reply.Err.Error()
		attempt.Left = ctx.Err() != nil
	}
	if kind == draftRoute || kind == talkRoute {
		attempt.Events = bytes.Count(reply.Body, []byte("\n\n"))
	}
	w.check(kind, call, attempt, reply)
	w.add(attempt)
	return attempt
}

// check judges an answer by itself.
func (w *world) check(kind routeKind, call testbed.Call, attempt *Attempt, reply testbed.Reply) {
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
		w.Break("MIXED", "%s: %v", kind, wrong)
	}
	if reply.Err == nil && reply.Status == 503 && reply.Header.Get("Retry-After") == "" {
		w.Break("REFUSED", "%s %s got 503 without Retry-After", kind, attempt.ID)
	}
	if reply.Err != nil || reply.Status < 300 || reply.Status >= 500 || kind == markRoute {
		return
	}
	switch {
	case attempt.promised():
	case reply.Status == 404 && attempt.Previous != "":
		w.Break("LOST", "turn %s goes on from %s, which was answered whole, and got 404 at %s", attempt.ID, attempt.Previous, attempt.Front)
	default:
		w.Break("DENIED", "%s %s got %d at %s", kind, attempt.ID, reply.Status, attempt.Front)
	}
}

// turn is one that was answered whole.
type turn struct {
	id      string
	prompt  []byte
	program string
}

// next is the prompt of a turn that goes on from this one.
func (t *turn) next(input []byte) []byte {
	prompt := append([]byte{}, t.prompt...)
	prompt = append(prompt, testbed.Output(testbed.EventData(t.prompt, testbed.EventCount(mostTokens)))...)
	return append(prompt, input...)
}

// turnSet is what was acknowledged to programs.
type turnSet struct {
	world *world

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

func (s *turnSet) begin(program string, budget int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.budgets == nil {
		s.budgets, s.spent = make(map[string]int), make(map[string]bool)
	}
	s.budgets[program] = budget
}

// sample draws some turns, the newest always among them.
func (s *turnSet) sample(random *rand.Rand, count int) []*turn {
	s.mu.Lock()
	defer s.mu.Unlock()
	drawn := append([]*turn(nil), s.answered...)
	newest := drawn[max(0, len(drawn)-count/2):]
	rest := drawn[:len(drawn)-len(newest)]
	random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(append([]*turn(nil), newest...), rest[:min(count/2, len(rest))]...)
}

const programTries = 6

// runPrograms plays programs one after the other until ctx ends.
func (w *world) runPrograms(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(w.plan.Seed, uint64(worker)))
	client := testbed.NewClient()
	defer client.Close()
	for number := 0; ctx.Err() == nil; number++ {
		program := fmt.Sprintf("p%d-%d", worker, number)
		budget := mostTokens * (2 + random.IntN(8))
		w.turns.begin(program, budget)
		w.runProgram(ctx, client, random, program, budget)
	}
}

func (w *world) runProgram(ctx context.Context, client *testbed.Client, random *rand.Rand, program string, budget int) {
	var last *turn
	for number := range 3 + random.IntN(8) {
		if ctx.Err() != nil {
			return
		}
		if last != nil && random.IntN(4) == 0 {
			w.runHelpers(ctx, client, program, budget, last, random.Uint64())
		}
		taken, ended := w.takeTurn(ctx, client, random, program, budget, last, fmt.Sprintf("%s turn %d\n", program, number))
		if ended {
			return
		}
		if taken != nil {
			last = taken
		}
	}
}

// runHelpers takes two turns at once that go on from the same one.
func (w *world) runHelpers(ctx context.Context, client *testbed.Client, program string, budget int, from *turn, seed uint64) {
	var group sync.WaitGroup
	for helper := range 2 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(helper)))
			w.takeTurn(ctx, client, random, program, budget, from, fmt.Sprintf("%s helper %d\n", program, helper))
		})
	}
	group.Wait()
}

// takeTurn takes a turn with the tries of a client, each at another edge. It returns the turn where it was answered whole,
// and whether the program is to end.
func (w *world) takeTurn(
	ctx context.Context, client *testbed.Client, random *rand.Rand, program string, budget int, before *turn, text string,
) (*turn, bool) {
	first := random.IntN(len(w.Edges))
	for number := range programTries {
		call := callOf(talkRoute, text)
		call.Program, call.Session, call.Budget = program, program, budget
		trying, cancel := w.maybeLeaving(ctx, random)
		attempt := w.try(trying, client, w.Edges[(first+number)%len(w.Edges)], talkRoute, call, before)
		cancel()
		switch {
		case attempt.Status == 200 && attempt.whole():
			taken := &turn{id: attempt.ID, prompt: attempt.Prompt, program: program}
			w.turns.add(taken)
			return taken, false
		case attempt.Status == statusSpent && attempt.whole():
			w.Count("program's budget spent")
			return nil, true
		case attempt.Left && ctx.Err() == nil:
			w.Count("client left its turn")
			return nil, false
		}
		if !clock.Sleep(ctx, time.Duration(20+random.IntN(80))*time.Millisecond) {
			return nil, true
		}
	}
	return nil, false
}

// maybeLeaving is a context that now and then ends early, as a client that leaves.
func (w *world) maybeLeaving(ctx context.Context, random *rand.Rand) (context.Context, context.CancelFunc) {
	if random.IntN(12) > 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(1+random.IntN(90))*time.Millisecond)
}

// runPlain sends requests of the other routes until ctx ends.
func (w *world) runPlain(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(w.plan.Seed, 1000+uint64(worker)))
	client := testbed.NewClient()
	defer client.Close()
	kinds := []routeKind{fetchRoute, orderRoute, orderRoute, draftRoute}
	for number := 0; ctx.Err() == nil; number++ {
		kind := kinds[random.IntN(len(kinds))]
		w.sendPlain(ctx, client, random, kind, fmt.Sprintf("%s-%d-%d", kind, worker, number))
		clock.Sleep(ctx, time.Duration(random.IntN(25))*time.Millisecond)
	}
}

// sendPlain sends one request with the tries that its kind allows.
func (w *world) sendPlain(ctx context.Context, client *testbed.Client, random *rand.Rand, kind routeKind, text string) {
	first := random.IntN(len(w.Edges))
	for number := range programTries {
		trying, cancel := w.maybeLeaving(ctx, random)
		attempt := w.try(trying, client, w.Edges[(first+number)%len(w.Edges)], kind, callOf(kind, text), nil)
		cancel()
		again := kind == fetchRoute || attempt.promised()
		if attempt.Status == 200 && attempt.whole() || !again || attempt.Left {
			return
		}
		if !clock.Sleep(ctx, time.Duration(10+random.IntN(60))*time.Millisecond) {
			return
		}
	}
}
