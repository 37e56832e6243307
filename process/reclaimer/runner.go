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

// callTimeout bounds the reading of a report, a free, and a query together with the
// frees that follow from it.
const callTimeout = time.Second

// Engine is one engine of the platform's list.
type Engine struct {
	ID      string
	Address string
}

// Runner reads the reports of the engines that are assigned to this host, and frees
// memory or queries owners as the Reclaimer decides. All fields must be set.
type Runner struct {
	Self          invoker.Owner
	Invoker       *invoker.Invoker
	Members       Members
	LocalRequests LocalRequests
	Scope         tally.Scope
	// Engines returns the engines of the region, LiveHosts the IDs of its other live
	// hosts.
	Engines   func() []Engine
	LiveHosts func(now time.Time) []string
	// Call sends an envelope to a host.
	Call func(ctx context.Context, host string, env *messenger.Envelope) (*messenger.Envelope, error)

	reclaimer Reclaimer
}

// Run reads the engines' reports until ctx ends.
func (run *Runner) Run(ctx context.Context, interval time.Duration) {
	run.reclaimer.Self = run.Self
	tic := time.NewTicker(interval)
	defer tic.Stop()
	for {
		select {
		case now := <-tic.C:
			run.checkEngines(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

// Assignment assigns engines to hosts by rendezvous hashing: if a host is removed, its
// engines are spread over the other hosts, and no other engine changes hosts. While the
// views of the live hosts differ, two hosts may both check an engine, or no host may
// check it.
type Assignment struct {
	hosts  []string
	hashes []uint64
}

// NewAssignment returns the assignment for a set of hosts.
func NewAssignment(hosts []string) Assignment {
	asn := Assignment{hosts: hosts}
	for _, host := range hosts {
		asn.hashes = append(asn.hashes, xxhash.Sum64String(host))
	}
	return asn
}

// HostOf returns the host to which an engine is assigned.
func (asn Assignment) HostOf(engine string) string {
	var best string
	var bestScore uint64
	engineHash := xxhash.Sum64String(engine)
	for i, hostHash := range asn.hashes {
		if score := mix(engineHash ^ hostHash); best == "" || score > bestScore {
			best, bestScore = asn.hosts[i], score
		}
	}
	return best
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (run *Runner) checkEngines(ctx context.Context, now time.Time) {
	asn := NewAssignment(append(run.LiveHosts(now), run.Self.Host))
	reps := make(chan Report)
	var wg sync.WaitGroup
	for _, eng := range run.Engines() {
		if asn.HostOf(eng.ID) == run.Self.Host {
			wg.Go(func() { run.readReport(ctx, eng, reps) })
		}
	}
	go func() {
		wg.Wait()
		close(reps)
	}()
	for rep := range reps {
		for _, act := range run.reclaimer.Decide(rep, run.Members, run.LocalRequests, time.Now()) {
			run.execute(ctx, act)
		}
	}
}

func (run *Runner) readReport(ctx context.Context, eng Engine, reps chan<- Report) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	loa, err := run.Invoker.Suspects(ctx, eng.Address, sequenceIdleLimit)
	if err != nil {
		run.Scope.Counter("reclaim_reports_failed").Inc(1)
		return
	}
	at := time.Now().Add(-time.Duration(loa.AgeMs) * time.Millisecond)
	reps <- Report{Endpoint: eng.ID, Address: eng.Address, Load: loa, At: at}
}

func (run *Runner) execute(ctx context.Context, act Action) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	switch act := act.(type) {
	case Free:
		run.free(ctx, act)
	case Query:
		ans, err := run.query(ctx, act)
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
	if err := run.Invoker.Free(ctx, fre.Address, fre.Holding); err != nil {
		run.Scope.Counter("reclaim_frees_failed").Inc(1)
		return
	}
	sco := run.Scope.Tagged(map[string]string{"reason": string(fre.Reason)})
	sco.Counter("reclaimed").Inc(1)
	sco.Counter("reclaimed_tokens").Inc(fre.Tokens)
}

func (run *Runner) query(ctx context.Context, que Query) (Answer, error) {
	msg := &messenger.OwnerQuery{Incarnation: que.Incarnation}
	for _, fre := range que.Holdings {
		msg.Requests = append(msg.Requests, workID(fre.Holding.RequestID, fre.Holding.ID))
	}
	env, err := run.Call(ctx, que.Host, &messenger.Envelope{Body: &messenger.Envelope_OwnerQuery{OwnerQuery: msg}})
	if err != nil {
		return Answer{}, eris.Wrapf(err, "Runner.query: host %s", que.Host)
	}
	reply := env.GetOwnerAnswer()
	if reply == nil {
		return Answer{}, eris.Errorf("Runner.query: host %s: reply has no OwnerAnswer", que.Host)
	}
	ans := Answer{Incarnation: reply.GetIncarnation(), InProgress: map[string]int{}}
	for _, req := range reply.GetKnown() {
		ans.InProgress[req.GetId()] = int(req.GetAttempt())
	}
	return ans, nil
}

// HandleQuery answers a peer's query about requests of this host.
func (run *Runner) HandleQuery(que *messenger.OwnerQuery) *messenger.Envelope {
	ans := &messenger.OwnerAnswer{Incarnation: run.Self.Incarnation}
	for _, id := range que.GetRequests() {
		if attempt, ok := run.LocalRequests.Attempt(id); ok {
			ans.Known = append(ans.Known, &messenger.OwnedRequest{Id: id, Attempt: int64(attempt)})
		}
	}
	return &messenger.Envelope{Body: &messenger.Envelope_OwnerAnswer{OwnerAnswer: ans}}
}
