// Command lostanswer lets an engine run a prompt that is larger than the memory of one engine
// and loses the answer. It checks how long the memory for the prompt stays set aside.
package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"hemlockpin/review/standins"
)

const (
	service = "model"
	engines = 14
	// promptTokens is the largest prompt of the deployment, answerTokens its usual answer.
	promptTokens = 700000
	answerTokens = 840
	objective    = 3 * time.Second
	gapAim       = time.Second
	deadline     = 15 * time.Second
	// patience is how long a consumer waits for the next event.
	patience = 4 * objective
	calls    = 6
	// lostCall is the call whose first run loses its answer, one in calls.
	lostCall = 2
	pause    = time.Second
	settled  = 4 * time.Second
	// freeLimit is how long memory may stay set aside after the last request that used it has
	// ended, idleLimit how long it may without being used.
	freeLimit = 4 * time.Second
	idleLimit = 9 * time.Second
)

func main() { standins.Main(run) }

// leaks collects the tickets that stay set aside for too long.
type leaks struct {
	mu    sync.Mutex
	fleet *standins.Fleet
	found map[string]string
}

func (lea *leaks) check(tic standins.Ticket, now time.Time) {
	rule, since := "LEAK", tic.Used
	limit := freeLimit
	if tic.Used.IsZero() {
		rule, since, limit = "STUCK", tic.Since, idleLimit
	}
	if now.Sub(since) <= limit {
		return
	}
	lea.mu.Lock()
	defer lea.mu.Unlock()
	key := rule + " " + tic.Engine + " " + tic.ID
	if lea.found[key] == "" {
		lea.found[key] = fmt.Sprintf("%s: %d tokens of %s stay set aside on %s for more than %s", rule, tic.Tokens, tic.ID, tic.Engine, limit)
		lea.fleet.Record.Printf("%s", lea.found[key])
	}
}

func run(ctx context.Context, fle *standins.Fleet, trouble bool) (standins.Verdict, error) {
	engs, err := fle.AddEngines(service, engines)
	if err != nil {
		return standins.Verdict{}, err
	}
	defer engs.Close()
	lea := &leaks{fleet: fle, found: map[string]string{}}
	var once sync.Once
	engs.OnTicket = lea.check
	engs.Loses = func(id string) bool {
		lost := false
		if trouble && id == callID(lostCall) {
			once.Do(func() { lost = true })
		}
		return lost
	}
	ser := standins.NewService(service)
	ser.Engine = engs.Spec
	rou := standins.NewRoute("ledger", "streaming", service, deadline, 2)
	rou.Target, rou.GapAim, rou.Sticky, rou.Resume, rou.Priority = objective.Milliseconds(), gapAim.Milliseconds(), true, true, 1
	fle.Configure(1, []standins.Service{ser}, rou)
	if err := fle.AddHosts(ctx, "front-colombo-1", "front-colombo-2"); err != nil {
		return standins.Verdict{}, err
	}
	watchCtx, stop := context.WithCancel(ctx)
	var wai sync.WaitGroup
	wai.Go(func() { engs.Watch(watchCtx) })
	time.Sleep(settled)
	whole := 0
	for i := range calls {
		if call(fle, fle.Hosts[i%len(fle.Hosts)], callID(i)) {
			whole++
		}
		time.Sleep(pause)
	}
	time.Sleep(settled)
	stop()
	wai.Wait()
	fle.Record.Printf("%d of %d answers are complete", whole, calls)
	if whole < calls-1 {
		return standins.Verdict{}, fmt.Errorf("only %d of %d answers are complete", whole, calls)
	}
	for _, leak := range lea.found {
		return standins.Verdict{Broken: fmt.Sprintf("%s; %d such tickets", leak, len(lea.found))}, nil
	}
	return standins.Verdict{}, nil
}

func callID(i int) string { return fmt.Sprintf("ledger-%d", i) }

// call sends one prompt and reports whether its answer was complete.
func call(fle *standins.Fleet, hos *standins.Host, id string) bool {
	cha, err := fle.Open(hos.FrontAddress)
	if err != nil {
		return false
	}
	defer cha.Close()
	rep := cha.Exchange(standins.Request{
		ID: id, Method: http.MethodPost, Path: "/ledger/review", Key: standins.Key, Deadline: deadline, Patience: patience, Body: []byte("ledger"),
		Header: fmt.Sprintf("Model: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: 5c1e07a2:40,%s:%d\r\n", promptTokens, answerTokens, "e4402b7d", promptTokens-40),
	})
	return rep.Err == nil && rep.Status == http.StatusOK && strings.Contains(rep.Body, fmt.Sprintf("id: %d\n", answerTokens/standins.NewEngineSpec().Stride))
}
