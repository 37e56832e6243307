package planner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"hemlockpin/version/parser"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	// tickInterval is the interval of the Tick events of a plan with waiting requests. Like
	// retryInterval, it is short against the prefill of a part.
	tickInterval = 8 * time.Millisecond
	// pollIdleLimit is the time without a request after which the reports of a pool's
	// engines are no longer read, planIdleLimit that after which its plan is dropped.
	pollIdleLimit = 3 * time.Second
	planIdleLimit = 30 * time.Second
	// firstPollTime is the time over which the first reports of a plan are read.
	firstPollTime = 100 * time.Millisecond
	// maxReportRate is the greatest number of reports read per second for a plan, and
	// firstReportRate that for a new plan. They bound the host's processor time for reports
	// whatever the number of engines, to leave time for requests.
	maxReportRate   = 256
	firstReportRate = 1024
	// loadTimeout is the time limit for reading one report.
	loadTimeout = 400 * time.Millisecond
)

// ReportError is a report of an engine that can't be decoded.
type ReportError struct {
	// Problem says what is wrong with the report.
	Problem string
}

// Error returns the problem.
func (err *ReportError) Error() string { return err.Problem }

// Loader reads the engines' reports. It returns a ReportError for one that can't be decoded.
type Loader interface {
	Load(ctx context.Context, address string) (Load, error)
}

// Runner runs the plans of the pools for which this host is the planner. All its exported
// fields except Skip and FarPrice are required.
type Runner struct {
	Loader Loader
	// Engines lists the engines of a pool, Pool finds a pool by its name.
	Engines func(poo parser.Pool, now time.Time) []Engine
	Pool    func(name string) (parser.Pool, bool)
	// Skip reports whether an engine's report must not be read now; nil for never.
	Skip func(eng Engine, now time.Time) bool
	// FarPrice is the price of a megabyte between data centres, see localizer.Localizer; 0 if data
	// centres don't matter.
	FarPrice float64
	// Interval is the interval at which reports are read.
	Interval time.Duration
	Clock    func() time.Time
	Log      zerolog.Logger
	Scope    tally.Scope

	mu    sync.Mutex
	plans map[string]*poolPlan
}

// poolPlan is the plan of one pool with the submissions that wait for its actions.
type poolPlan struct {
	pool string
	log  zerolog.Logger

	mu      sync.Mutex
	plan    Plan
	engines []Engine
	waiters map[string]chan Action
	// problems are those of the engines whose last reports can't be used.
	problems map[string]string
	// lastRequest is the time of the last request, initially that of the plan's start: a
	// plan that an announced grant has started must not be dropped as idle before its first
	// request.
	lastRequest time.Time
	ticking     bool
	// pollEnd is the time until which the last poll of the reports is in progress.
	pollEnd time.Time
}

// Submit queues a request and waits at most hold for an action. It returns nil if the
// request still waits after hold; the host then submits the request again. If ctx ends, the
// request is cancelled.
func (run *Runner) Submit(ctx context.Context, pool string, req Request, hold time.Duration) Action {
	pp := run.planFor(pool)
	if pp == nil {
		return Refuse{ID: req.ID, Code: CodeNoEngine, Message: "this host does not know the pool", RetryAfter: minRetryAfter}
	}
	decision := pp.submit(req, run.Clock())
	pp.startTicking(run.Clock)
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case act := <-decision:
		run.countAction(act)
		return act
	case <-timer.C:
		return pp.stopWaiting(req.ID, decision)
	case <-ctx.Done():
		_ = pp.stopWaiting(req.ID, decision)
		pp.apply(Cancel{req.ID}, run.Clock())
		return nil
	}
}

func (run *Runner) countAction(act Action) {
	switch act := act.(type) {
	case Refuse:
		run.Scope.Tagged(map[string]string{"code": act.Code}).Counter("plan_refusals").Inc(1)
	case Assign:
		run.Scope.Counter("plan_grants").Inc(1)
		if act.Far {
			run.Scope.Counter("plan_grants_far").Inc(1)
		}
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

// Granted returns the number of grants of a pool that have not ended.
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

// planFor returns the plan of a pool and starts the plan if there is none. It returns nil
// for an unknown pool or a pool without batching parameters.
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
	run.refreshPlan(pp)
	run.Log.Info().Str("Pool", pool).Int("Engines", len(pp.engines)).Msg("started planning for pool")
	// If another planner of the pool has failed, its record of the engines' load is lost:
	// read the reports soon.
	run.poll(context.Background(), pp, firstPollTime, firstReportRate)
	return pp
}

// refreshPlan updates the parameters and the engines of a plan.
func (run *Runner) refreshPlan(pp *poolPlan) {
	poo, ok := run.Pool(pp.pool)
	if !ok || poo.Batching == nil {
		return
	}
	now := run.Clock()
	engines := run.Engines(poo, now)
	pp.apply(Parameters{Batching: *poo.Batching, FarPrice: run.FarPrice}, now)
	pp.apply(Listing{engines}, now)
	pp.mu.Lock()
	pp.engines = engines
	pp.mu.Unlock()
}

// Refresh applies changes of the tables and of the endpoints at once.
func (run *Runner) Refresh() {
	for _, pp := range run.allPlans() {
		run.refreshPlan(pp)
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
				run.Log.Info().Str("Pool", pp.pool).Msg("no requests for pool; dropped its plan")
				continue
			}
			run.refreshPlan(pp)
			if idle < pollIdleLimit {
				run.poll(ctx, pp, run.Interval, maxReportRate)
			}
		}
	}
}

// poll reads the reports of all engines, unless the previous poll is still in progress. It
// distributes the reads over a period, which it prolongs if they would exceed rate per
// second: reading the reports of a hundred engines at once would delay requests.
func (run *Runner) poll(ctx context.Context, pp *poolPlan, period time.Duration, rate int) {
	now := run.Clock()
	pp.mu.Lock()
	engines := pp.engines
	period = max(period, time.Duration(len(engines))*time.Second/time.Duration(rate))
	if now.Before(pp.pollEnd) {
		pp.mu.Unlock()
		return
	}
	// The ticker may fire slightly early.
	pp.pollEnd = now.Add(period - period/8)
	pp.mu.Unlock()
	for i, eng := range engines {
		time.AfterFunc(period*time.Duration(i)/time.Duration(len(engines)), func() {
			if ctx.Err() != nil || run.Skip != nil && run.Skip(eng, run.Clock()) {
				return
			}
			ctx, stop := context.WithTimeout(ctx, loadTimeout)
			defer stop()
			loa, err := run.Loader.Load(ctx, eng.Address)
			var invalid *ReportError
			if err != nil && !errors.As(err, &invalid) {
				run.Log.Debug().Str("Endpoint", eng.ID).Err(err).Msg("engine report could not be read; counting a missed report")
				pp.apply(Unreachable{eng.ID}, run.Clock())
				return
			}
			problem := loa.problem()
			if invalid != nil {
				problem = invalid.Problem
			}
			if pp.isNewProblem(eng.ID, problem) {
				run.Scope.Counter("invalid_reports").Inc(1)
				run.Log.Warn().Str("Endpoint", eng.ID).Str("Problem", problem).Msg("invalid engine report; counting it as missed")
			}
			if invalid != nil {
				pp.apply(Unreachable{eng.ID}, run.Clock())
				return
			}
			pp.apply(Report{eng.ID, loa}, run.Clock())
		})
	}
}

// isNewProblem records the problem of an engine's last report, empty for none, and reports
// whether there is one that the report before did not have.
func (pp *poolPlan) isNewProblem(engine, problem string) bool {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	old := pp.problems[engine]
	if problem == "" {
		delete(pp.problems, engine)
		return false
	}
	if pp.problems == nil {
		pp.problems = map[string]string{}
	}
	pp.problems[engine] = problem
	return old == ""
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
	decision := make(chan Action, 1)
	pp.waiters[req.ID] = decision
	pp.deliver(pp.plan.Next(req, now))
	return decision
}

// stopWaiting stops waiting for a request and returns the action that has arrived
// meanwhile, if any.
func (pp *poolPlan) stopWaiting(id string, decision chan Action) Action {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	if pp.waiters[id] == decision {
		delete(pp.waiters, id)
	}
	select {
	case act := <-decision:
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

// deliver logs actions and sends them to the waiting submissions. A grant without a waiting
// submission is delivered when its request is repeated. pp.mu must be held.
func (pp *poolPlan) deliver(acts []Action) {
	for _, act := range acts {
		var id string
		switch act := act.(type) {
		case Assign:
			id = act.ID
			pp.log.Info().Str("RequestID", id).Str("Pool", pp.pool).Strs("Endpoints", act.endpoints()).
				Dur("FirstMs", act.First).Dur("WaitedMs", act.Waited).Bool("Far", act.Far).Int("Waiting", pp.plan.Waiting()).Int("Granted", pp.plan.Granted()).Msg("plan granted")
		case Refuse:
			id = act.ID
			pp.log.Warn().Str("RequestID", id).Str("Pool", pp.pool).Str("Code", act.Code).Dur("RetryAfterMs", act.RetryAfter).
				Int("Waiting", pp.plan.Waiting()).Int("Granted", pp.plan.Granted()).Msg("plan refused")
		}
		if decision := pp.waiters[id]; decision != nil {
			delete(pp.waiters, id)
			decision <- act
		}
	}
}
