package reclaimer

import (
	"context"
	"sync"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
)

const callTimeout = time.Second

// Engine is one engine of the platform's list.
type Engine struct {
	ID      string
	Address string
}

// Runner carries the decisions out for the engines of which this host has the
// duty. All fields must be set.
type Runner struct {
	Self          invoker.Owner
	Invoker       *invoker.Invoker
	Members       Members
	LocalRequests LocalRequests
	Scope         tally.Scope
	// Engines lists the engines of the region, Live its other hosts that are alive.
	Engines   func() []Engine
	LiveHosts func(now time.Time) []string
	// Call sends an envelope to a host.
	Call func(ctx context.Context, host string, env *messenger.Envelope) (*messenger.Envelope, error)

	reclaimer Reclaimer
}

// Run reads the engines' reports until ctx ends.
func (run *Runner) Run(ctx context.Context, every time.Duration) {
	run.reclaimer.Self = run.Self
	tic := time.NewTicker(every)
	defer tic.Stop()
	for {
		select {
		case now := <-tic.C:
			run.round(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

// Duties shares engines over hosts: each goes to the host with the highest
// mixed hash, so that a lost host's engines spread over the others and no other
// moves. Two hosts that differ on who is alive may both look after an engine.
type Assignment struct {
	hosts []string
	sums  []uint64
}

// NewDuties prepares the hashes of the hosts.
func NewAssignment(hosts []string) Assignment {
	dut := Assignment{hosts: hosts}
	for _, hos := range hosts {
		dut.sums = append(dut.sums, xxhash.Sum64String(hos))
	}
	return dut
}

// Of returns the host that looks after an engine.
func (dut Assignment) HostOf(engine string) string {
	var bes string
	var top uint64
	own := xxhash.Sum64String(engine)
	for ind, sum := range dut.sums {
		if val := mix(own ^ sum); bes == "" || val > top {
			bes, top = dut.hosts[ind], val
		}
	}
	return bes
}

// mix is the finalizer of SplitMix64.
func mix(val uint64) uint64 {
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}

func (run *Runner) round(ctx context.Context, now time.Time) {
	dut := NewAssignment(append(run.LiveHosts(now), run.Self.Host))
	reps := make(chan Report)
	var gro sync.WaitGroup
	for _, eng := range run.Engines() {
		if dut.HostOf(eng.ID) == run.Self.Host {
			gro.Go(func() { run.read(ctx, eng, reps) })
		}
	}
	go func() {
		gro.Wait()
		close(reps)
	}()
	for rep := range reps {
		for _, act := range run.reclaimer.Decide(rep, run.Members, run.LocalRequests, time.Now()) {
			run.carryOut(ctx, act)
		}
	}
}

func (run *Runner) read(ctx context.Context, eng Engine, reps chan<- Report) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	loa, err := run.Invoker.Suspects(ctx, eng.Address, suspectIdle)
	if err != nil {
		run.Scope.Counter("reclaim_reports_failed").Inc(1)
		return
	}
	at := time.Now().Add(-time.Duration(loa.AgeMs) * time.Millisecond)
	reps <- Report{Endpoint: eng.ID, Address: eng.Address, Load: loa, At: at}
}

func (run *Runner) carryOut(ctx context.Context, act Action) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	switch act := act.(type) {
	case Free:
		run.free(ctx, act)
	case Query:
		ans, err := run.ask(ctx, act)
		if err != nil {
			run.Scope.Counter("reclaim_questions_failed").Inc(1)
			return
		}
		for _, fre := range ResolveQuery(act, ans) {
			run.free(ctx, fre)
		}
	}
}

func (run *Runner) free(ctx context.Context, fre Free) {
	if err := run.Invoker.Free(ctx, fre.Address, fre.Free); err != nil {
		run.Scope.Counter("reclaim_frees_failed").Inc(1)
		return
	}
	sco := run.Scope.Tagged(map[string]string{"reason": string(fre.Reason)})
	sco.Counter("reclaimed").Inc(1)
	sco.Counter("reclaimed_tokens").Inc(fre.Tokens)
}

func (run *Runner) ask(ctx context.Context, ask Query) (Answer, error) {
	que := &messenger.OwnerQuery{Incarnation: ask.Incarnation}
	for _, fre := range ask.Holdings {
		que.Requests = append(que.Requests, requestOf(fre.Free.RequestID, fre.Free.ID))
	}
	rep, err := run.Call(ctx, ask.Host, &messenger.Envelope{Body: &messenger.Envelope_OwnerQuery{OwnerQuery: que}})
	if err != nil {
		return Answer{}, eris.Wrapf(err, "Runner.ask: host %s", ask.Host)
	}
	own := rep.GetOwnerAnswer()
	if own == nil {
		return Answer{}, eris.Errorf("Runner.ask: host %s: unexpected reply", ask.Host)
	}
	ans := Answer{Incarnation: own.GetIncarnation(), Known: map[string]int{}}
	for _, req := range own.GetKnown() {
		ans.Known[req.GetId()] = int(req.GetAttempt())
	}
	return ans, nil
}

// HandleQuery answers a peer's question from what this host works on.
func (run *Runner) HandleQuery(que *messenger.OwnerQuery) *messenger.Envelope {
	ans := &messenger.OwnerAnswer{Incarnation: run.Self.Incarnation}
	for _, id := range que.GetRequests() {
		if att, ok := run.LocalRequests.Attempt(id); ok {
			ans.Known = append(ans.Known, &messenger.OwnedRequest{Id: id, Attempt: int64(att)})
		}
	}
	return &messenger.Envelope{Body: &messenger.Envelope_OwnerAnswer{OwnerAnswer: ans}}
}
