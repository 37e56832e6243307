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
	// tick is the interval at which time passes for a plan with waiting asks; a
	// part of a read takes some tens of milliseconds.
	tick = 8 * time.Millisecond
	// idleTime is the time without an ask after which reports are no longer read;
	// forgetTime that after which a plan is dropped.
	idleTime   = 3 * time.Second
	forgetTime = 30 * time.Second
	// firstPoll is the time over which the first reports of a plan are read.
	firstPoll = 100 * time.Millisecond
	// maxReports bounds the reports that a plan reads a second, and firstReports those of
	// a plan that begins: they must leave the host time for asks, however many engines
	// the pool has.
	maxReports   = 256
	firstReports = 1024
	// loadTimeout bounds the read of one report.
	loadTimeout = 400 * time.Millisecond
)

// Loader reads what engines report.
type Loader interface {
	Load(ctx context.Context, address string) (Load, error)
}

// Runner runs the plans of the pools that this host is asked to plan. All its
// fields are needed.
type Runner struct {
	Loader Loader
	// Engines lists the engines of a pool, Pool finds a pool by its name.
	Engines func(poo parser.Pool, now time.Time) []Engine
	Pool    func(name string) (parser.Pool, bool)
	// Interval is that of reading reports.
	Interval time.Duration
	Clock    func() time.Time
	Log      zerolog.Logger
	Scope    tally.Scope

	mu    sync.Mutex
	plans map[string]*running
}

// running is one plan with those that wait for its actions.
type running struct {
	pool string
	log  zerolog.Logger

	mu      sync.Mutex
	plan    Plan
	engines []Engine
	waiters map[string]chan Action
	// asked is when the last ask came, or when the plan began: grants that are announced
	// come before the first one.
	asked   time.Time
	ticking bool
	// polled is until when the last reading of the reports goes on.
	polled time.Time
}

// Submit queues a prompt and waits for an answer at most for hold. It returns nil
// while the prompt waits; the host then repeats its ask. When ctx ends the ask is
// cancelled.
func (run *Runner) Submit(ctx context.Context, pool string, ask Request, hold time.Duration) Action {
	one := run.running(pool)
	if one == nil {
		return Refuse{ID: ask.ID, Code: CodeNoEngine, Message: "this host does not know the pool", RetryAfter: leastRetry}
	}
	wai := one.ask(ask, run.Clock())
	one.keepTicking(run.Clock)
	tim := time.NewTimer(hold)
	defer tim.Stop()
	select {
	case act := <-wai:
		run.count(act)
		return act
	case <-tim.C:
		return one.leave(ask.ID, wai)
	case <-ctx.Done():
		_ = one.leave(ask.ID, wai)
		one.next(Cancel{ask.ID}, run.Clock())
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

// Notify passes events of grants on to the plan of a pool, if it is run here.
func (run *Runner) Notify(pool string, eves ...Event) {
	run.mu.Lock()
	one := run.plans[pool]
	run.mu.Unlock()
	if one == nil && slices.ContainsFunc(eves, func(eve Event) bool { _, ok := eve.(Held); return ok }) {
		one = run.running(pool)
	}
	if one == nil {
		return
	}
	for _, eve := range eves {
		one.next(eve, run.Clock())
	}
}

// RemoveHost ends what a host's process, up to an incarnation, holds.
func (run *Runner) RemoveHost(eve HostRemoved) {
	for _, one := range run.all() {
		one.next(eve, run.Clock())
	}
}

func (run *Runner) all() []*running {
	run.mu.Lock()
	defer run.mu.Unlock()
	out := make([]*running, 0, len(run.plans))
	for _, one := range run.plans {
		out = append(out, one)
	}
	return out
}

// Granted counts the grants of a pool that have not ended.
func (run *Runner) Granted(pool string) int {
	run.mu.Lock()
	one := run.plans[pool]
	run.mu.Unlock()
	if one == nil {
		return 0
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	return one.plan.Granted()
}

func (run *Runner) running(pool string) *running {
	run.mu.Lock()
	defer run.mu.Unlock()
	if one := run.plans[pool]; one != nil {
		return one
	}
	poo, ok := run.Pool(pool)
	if !ok || poo.Batching == nil {
		return nil
	}
	one := &running{pool: pool, log: run.Log, waiters: map[string]chan Action{}, asked: run.Clock()}
	if run.plans == nil {
		run.plans = map[string]*running{}
	}
	run.plans[pool] = one
	run.refresh(one)
	run.Log.Info().Str("Pool", pool).Int("Engines", len(one.engines)).Msg("planning of a pool begins")
	// The plan before this one may be lost, and with it the account of the engines.
	run.poll(context.Background(), one, firstPoll, firstReports)
	return one
}

// refresh takes the pool's figures and engines over.
func (run *Runner) refresh(one *running) {
	poo, ok := run.Pool(one.pool)
	if !ok || poo.Batching == nil {
		return
	}
	now := run.Clock()
	ends := run.Engines(poo, now)
	one.next(Parameters{*poo.Batching}, now)
	one.next(Listing{ends}, now)
	one.mu.Lock()
	one.engines = ends
	one.mu.Unlock()
}

// Refresh takes changes of the tables and of the endpoints over at once.
func (run *Runner) Refresh() {
	for _, one := range run.all() {
		run.refresh(one)
	}
}

// Run reads reports until ctx ends.
func (run *Runner) Run(ctx context.Context) {
	tic := time.NewTicker(run.Interval)
	defer tic.Stop()
	for {
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
		for _, one := range run.all() {
			idl := one.idle(run.Clock())
			if idl > forgetTime {
				run.mu.Lock()
				delete(run.plans, one.pool)
				run.mu.Unlock()
				run.Log.Info().Str("Pool", one.pool).Msg("planning of a pool ends")
				continue
			}
			run.refresh(one)
			if idl < idleTime {
				run.poll(ctx, one, run.Interval, maxReports)
			}
		}
	}
}

// poll reads the reports of all engines, unless the last reading of them goes on. They are
// spread over a time, or a longer one at the rate that bounds them: those of a hundred
// engines at once would hold asks up.
func (run *Runner) poll(ctx context.Context, one *running, over time.Duration, rate int) {
	now := run.Clock()
	one.mu.Lock()
	ends := one.engines
	over = max(over, time.Duration(len(ends))*time.Second/time.Duration(rate))
	if now.Before(one.polled) {
		one.mu.Unlock()
		return
	}
	// The ticker may come a little early.
	one.polled = now.Add(over - over/8)
	one.mu.Unlock()
	for ind, end := range ends {
		time.AfterFunc(over*time.Duration(ind)/time.Duration(len(ends)), func() {
			if ctx.Err() != nil {
				return
			}
			ctx, stop := context.WithTimeout(ctx, loadTimeout)
			defer stop()
			loa, err := run.Loader.Load(ctx, end.Address)
			if err != nil {
				run.Log.Debug().Str("Endpoint", end.ID).Err(err).Msg("report not read")
				one.next(Unreachable{end.ID}, run.Clock())
				return
			}
			one.next(Report{end.ID, loa}, run.Clock())
		})
	}
}

func (one *running) idle(now time.Time) time.Duration {
	one.mu.Lock()
	defer one.mu.Unlock()
	return now.Sub(one.asked)
}

func (one *running) ask(ask Request, now time.Time) chan Action {
	one.mu.Lock()
	defer one.mu.Unlock()
	one.asked = now
	wai := make(chan Action, 1)
	one.waiters[ask.ID] = wai
	one.deliver(one.plan.Next(ask, now))
	return wai
}

// leave ends the wait for an ask and returns the action that came meanwhile.
func (one *running) leave(id string, wai chan Action) Action {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.waiters[id] == wai {
		delete(one.waiters, id)
	}
	select {
	case act := <-wai:
		return act
	default:
		return nil
	}
}

func (one *running) next(eve Event, now time.Time) {
	one.mu.Lock()
	defer one.mu.Unlock()
	one.deliver(one.plan.Next(eve, now))
}

// keepTicking lets time pass while asks wait.
func (one *running) keepTicking(clock func() time.Time) {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.ticking || one.plan.Waiting() == 0 {
		return
	}
	one.ticking = true
	time.AfterFunc(tick, func() { one.tick(clock) })
}

func (one *running) tick(clock func() time.Time) {
	one.mu.Lock()
	defer one.mu.Unlock()
	one.deliver(one.plan.Next(Tick{}, clock()))
	if one.ticking = one.plan.Waiting() > 0; one.ticking {
		time.AfterFunc(tick, func() { one.tick(clock) })
	}
}

// deliver hands actions to those that wait for them and logs them. A grant that
// nobody waits for stays until its ask is repeated. The caller holds the lock.
func (one *running) deliver(acts []Action) {
	for _, act := range acts {
		var id string
		switch act := act.(type) {
		case Assign:
			id = act.ID
			one.log.Info().Str("RequestID", id).Str("Pool", one.pool).Strs("Endpoints", act.endpoints()).
				Dur("FirstMs", act.First).Dur("WaitedMs", act.Waited).Int("Waiting", one.plan.Waiting()).Int("Granted", one.plan.Granted()).Msg("plan granted")
		case Refuse:
			id = act.ID
			one.log.Warn().Str("RequestID", id).Str("Pool", one.pool).Str("Code", act.Code).Dur("RetryAfterMs", act.RetryAfter).
				Int("Waiting", one.plan.Waiting()).Int("Granted", one.plan.Granted()).Msg("plan refused")
		}
		if wai := one.waiters[id]; wai != nil {
			delete(one.waiters, id)
			wai <- act
		}
	}
}
