package planner

import (
	"context"
	"slices"
	"sync"
	"time"

	"hemlockpin/version/parser"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	// tickInterval is the interval of the Tick events of a plan with waiting requests; the
	// prefill of a part takes some tens of milliseconds.
	tickInterval = 8 * time.Millisecond
	// pollIdleLimit is the time without a request after which the reports of a pool's
	// engines are no longer read, planIdleLimit that after which its plan is dropped.
	pollIdleLimit = 3 * time.Second
	planIdleLimit = 30 * time.Second
	// firstPollTime is the time over which the first reports of a plan are read.
	firstPollTime = 100 * time.Millisecond
	// maxReports is the greatest number of reports that a plan reads per second, and
	// firstMaxReports that of a new plan. They leave the host time for requests, however
	// many engines the pool has.
	maxReports      = 256
	firstMaxReports = 1024
	// loadTimeout is the time limit for reading one report.
	loadTimeout = 400 * time.Millisecond
)

// Loader reads the engines' reports.
type Loader interface {
	Load(ctx context.Context, address string) (Load, error)
}

// Runner runs the plans of the pools for which this host is the planner. All its exported
// fields are required.
type Runner struct {
	Loader Loader
	// Engines lists the engines of a pool, Pool finds a pool by its name.
	Engines func(poo parser.Pool, now time.Time) []Engine
	Pool    func(name string) (parser.Pool, bool)
	// Interval is the interval at which reports are read.
	Interval time.Duration
	Clock    func() time.Time
	Log      zerolog.Logger
	Scope    tally.Scope

	mu    sync.Mutex
	plans map[string]*poolPlan
}

// poolPlan is the plan of one pool with the callers that wait for its actions.
type poolPlan struct {
	pool string
	log  zerolog.Logger

	mu      sync.Mutex
	plan    Plan
	engines []Engine
	waiters map[string]chan Action
	// lastRequest is the time of the last request, initially that at which the plan began:
	// grants of other planners are announced before the first request.
	lastRequest time.Time
	ticking     bool
	// pollEnd is the time until which the last poll of the reports is in progress.
	pollEnd time.Time
}

// Submit queues a request and waits at most hold for an action. It returns nil while the
// request waits; the host then submits it again. If ctx ends, the request is cancelled.
func (run *Runner) Submit(ctx context.Context, pool string, req Request, hold time.Duration) Action {
	pp := run.planFor(pool)
	if pp == nil {
		return Refuse{ID: req.ID, Code: CodeNoEngine, Message: "this host does not know the pool", RetryAfter: minRetryAfter}
	}
	answer := pp.submit(req, run.Clock())
	pp.startTicking(run.Clock)
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case act := <-answer:
		run.count(act)
		return act
	case <-timer.C:
		return pp.stopWaiting(req.ID, answer)
	case <-ctx.Done():
		_ = pp.stopWaiting(req.ID, answer)
		pp.apply(Cancel{req.ID}, run.Clock())
		return nil
	}
}

func (run *Runner) count(act Action) {
	switch act := act.(type) {
	case Refuse:
		run.Scope.Tagged(map[string]string{"code": act.Code}).Counter("plan_refusals").Inc(1)
	case Assign:
		run.Scope.Counter("plan_grants").Inc(1)
		run.Scope.Timer("plan_wait").Record(act.Waited)
	}
}

// Notify passes events of grants to the plan of a pool, if this host has one. An Announced
// event starts a plan.
func (run *Runner) Notify(pool string, eves ...Event) {
	run.mu.Lock()
	pp := run.plans[pool]
	run.mu.Unlock()
	if pp == nil && slices.ContainsFunc(eves, func(eve Event) bool { _, ok := eve.(Announced); return ok }) {
		pp = run.planFor(pool)
	}
	if pp == nil {
		return
	}
	for _, eve := range eves {
		pp.apply(eve, run.Clock())
	}
}

// RemoveHost ends the waiting requests and the grants of a host's processes up to an
// incarnation.
func (run *Runner) RemoveHost(eve HostRemoved) {
	for _, pp := range run.allPlans() {
		pp.apply(eve, run.Clock())
	}
}

func (run *Runner) allPlans() []*poolPlan {
	run.mu.Lock()
	defer run.mu.Unlock()
	out := make([]*poolPlan, 0, len(run.plans))
	for _, pp := range run.plans {
		out = append(out, pp)
	}
	return out
}

// Granted counts the grants of a pool that have not ended.
func (run *Runner) Granted(pool string) int {
	run.mu.Lock()
	pp := run.plans[pool]
	run.mu.Unlock()
	if pp == nil {
		return 0
	}
	pp.mu.Lock()
	defer pp.mu.Unlock()
	return pp.plan.Granted()
}

func (run *Runner) planFor(pool string) *poolPlan {
	run.mu.Lock()
	defer run.mu.Unlock()
	if pp := run.plans[pool]; pp != nil {
		return pp
	}
	poo, ok := run.Pool(pool)
	if !ok || poo.Batching == nil {
		return nil
	}
	pp := &poolPlan{pool: pool, log: run.Log, waiters: map[string]chan Action{}, lastRequest: run.Clock()}
	if run.plans == nil {
		run.plans = map[string]*poolPlan{}
	}
	run.plans[pool] = pp
	run.refresh(pp)
	run.Log.Info().Str("Pool", pool).Int("Engines", len(pp.engines)).Msg("started planning for pool")
	// A previous planner of the pool may have failed, and its knowledge of the engines'
	// load with it.
	run.poll(context.Background(), pp, firstPollTime, firstMaxReports)
	return pp
}

// refresh updates the parameters and the engines of a plan.
func (run *Runner) refresh(pp *poolPlan) {
	poo, ok := run.Pool(pp.pool)
	if !ok || poo.Batching == nil {
		return
	}
	now := run.Clock()
	engines := run.Engines(poo, now)
	pp.apply(Parameters{*poo.Batching}, now)
	pp.apply(Listing{engines}, now)
	pp.mu.Lock()
	pp.engines = engines
	pp.mu.Unlock()
}

// Refresh applies changes of the tables and of the endpoints at once.
func (run *Runner) Refresh() {
	for _, pp := range run.allPlans() {
		run.refresh(pp)
	}
}

// Run reads reports and drops idle plans until ctx ends.
func (run *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(run.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, pp := range run.allPlans() {
			idle := pp.idle(run.Clock())
			if idle > planIdleLimit {
				run.mu.Lock()
				delete(run.plans, pp.pool)
				run.mu.Unlock()
				run.Log.Info().Str("Pool", pp.pool).Msg("dropped idle plan of pool")
				continue
			}
			run.refresh(pp)
			if idle < pollIdleLimit {
				run.poll(ctx, pp, run.Interval, maxReports)
			}
		}
	}
}

// poll reads the reports of all engines, unless the previous poll is still in progress. It
// spreads the reads over a time, or over a longer one if the rate requires it: reading the
// reports of a hundred engines at once would delay requests.
func (run *Runner) poll(ctx context.Context, pp *poolPlan, over time.Duration, rate int) {
	now := run.Clock()
	pp.mu.Lock()
	engines := pp.engines
	over = max(over, time.Duration(len(engines))*time.Second/time.Duration(rate))
	if now.Before(pp.pollEnd) {
		pp.mu.Unlock()
		return
	}
	// The ticker may fire slightly early.
	pp.pollEnd = now.Add(over - over/8)
	pp.mu.Unlock()
	for i, eng := range engines {
		time.AfterFunc(over*time.Duration(i)/time.Duration(len(engines)), func() {
			if ctx.Err() != nil {
				return
			}
			ctx, stop := context.WithTimeout(ctx, loadTimeout)
			defer stop()
			loa, err := run.Loader.Load(ctx, eng.Address)
			if err != nil {
				run.Log.Debug().Str("Endpoint", eng.ID).Err(err).Msg("engine report could not be read; counting a missed report")
				pp.apply(Unreachable{eng.ID}, run.Clock())
				return
			}
			pp.apply(Report{eng.ID, loa}, run.Clock())
		})
	}
}

func (pp *poolPlan) idle(now time.Time) time.Duration {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	return now.Sub(pp.lastRequest)
}

func (pp *poolPlan) submit(req Request, now time.Time) chan Action {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	pp.lastRequest = now
	answer := make(chan Action, 1)
	pp.waiters[req.ID] = answer
	pp.deliver(pp.plan.Next(req, now))
	return answer
}

// stopWaiting stops waiting for a request and returns the action that has arrived
// meanwhile, if any.
func (pp *poolPlan) stopWaiting(id string, answer chan Action) Action {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	if pp.waiters[id] == answer {
		delete(pp.waiters, id)
	}
	select {
	case act := <-answer:
		return act
	default:
		return nil
	}
}

func (pp *poolPlan) apply(eve Event, now time.Time) {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	pp.deliver(pp.plan.Next(eve, now))
}

// startTicking sends Tick events to the plan while requests wait.
func (pp *poolPlan) startTicking(clock func() time.Time) {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	if pp.ticking || pp.plan.Waiting() == 0 {
		return
	}
	pp.ticking = true
	time.AfterFunc(tickInterval, func() { pp.tick(clock) })
}

func (pp *poolPlan) tick(clock func() time.Time) {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	pp.deliver(pp.plan.Next(Tick{}, clock()))
	if pp.ticking = pp.plan.Waiting() > 0; pp.ticking {
		time.AfterFunc(tickInterval, func() { pp.tick(clock) })
	}
}

// deliver logs actions and sends them to their waiting callers. A grant for which nobody
// waits stays until its request is repeated. The caller holds the lock.
func (pp *poolPlan) deliver(acts []Action) {
	for _, act := range acts {
		var id string
		switch act := act.(type) {
		case Assign:
			id = act.ID
			pp.log.Info().Str("RequestID", id).Str("Pool", pp.pool).Strs("Endpoints", act.endpoints()).
				Dur("FirstMs", act.First).Dur("WaitedMs", act.Waited).Int("Waiting", pp.plan.Waiting()).Int("Granted", pp.plan.Granted()).Msg("plan granted")
		case Refuse:
			id = act.ID
			pp.log.Warn().Str("RequestID", id).Str("Pool", pp.pool).Str("Code", act.Code).Dur("RetryAfterMs", act.RetryAfter).
				Int("Waiting", pp.plan.Waiting()).Int("Granted", pp.plan.Granted()).Msg("plan refused")
		}
		if answer := pp.waiters[id]; answer != nil {
			delete(pp.waiters, id)
			answer <- act
		}
	}
}
