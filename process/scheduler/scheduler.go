package scheduler

import (
	"context"
	"sync"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/placer"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
)

const (
	// busyTick and idleTick are the intervals at which time passes for cells
	// with and without waiting asks.
	busyTick = 5 * time.Millisecond
	idleTick = 50 * time.Millisecond
	// cellIdleTimeout is the time without an ask after which a cell is dropped.
	cellIdleTimeout = 30 * time.Second
	pollTimeout     = time.Second
)

// Loader reads what engines report.
type Loader interface {
	// Load reads the whole report, Summary leaves the holders of memory out.
	Load(ctx context.Context, address string) (invoker.Load, error)
	Summary(ctx context.Context, address string) (invoker.Load, error)
}

// Scheduler runs the cells that a host is asked to schedule. All its fields
// are needed.
type Scheduler struct {
	Loader Loader
	// Engines lists the engines of a pool as the host knows them.
	Engines func(poo parser.Pool) []placer.Endpoint
	// Pool finds a pool in the tables in force.
	Pool func(name string) (parser.Pool, bool)
	// Interval is the least interval of load reports.
	Interval time.Duration
	Clock    func() time.Time
	Scope    tally.Scope

	mu    sync.Mutex
	cells map[string]*running
}

// running is one cell with those that wait for its actions.
type running struct {
	name string
	pool string

	mu      sync.Mutex
	cell    Cell
	engines []placer.Endpoint
	waiters map[string]chan Action
	asked   time.Time
	reads   readPace
	holders holderPace
}

// Submit queues a request in a cell and waits for the answer at most for hold. It
// returns a nil action while the ask waits; the host then repeats it. With the
// action comes the expected wait of a new request in the cell. When ctx
// ends, the ask is cancelled, or its grant released.
func (sch *Scheduler) Submit(ctx context.Context, cell, pool string, eve Request, hold time.Duration) (Action, time.Duration) {
	run := sch.running(ctx, cell, pool)
	if run == nil {
		return Refuse{ID: eve.ID, Refuse: placer.Refuse{Code: CodeUnavailable, Message: "this host does not know the cell", RetryAfter: minRetryAfter}}, 0
	}
	act, wai := run.ask(eve, sch.Clock())
	if act != nil {
		sch.count(act)
		return act, run.wait(sch.Clock())
	}
	tim := time.NewTimer(hold)
	defer tim.Stop()
	select {
	case act = <-wai:
		sch.count(act)
	case <-tim.C:
		act = run.leave(eve.ID, wai)
	case <-ctx.Done():
		_ = run.leave(eve.ID, wai)
		run.next(Cancel{eve.ID}, sch.Clock())
	}
	return act, run.wait(sch.Clock())
}

func (sch *Scheduler) count(act Action) {
	switch act := act.(type) {
	case Refuse:
		sch.Scope.Tagged(map[string]string{"code": act.Code}).Counter("cell_refusals").Inc(1)
	default:
		sch.Scope.Counter("cell_grants").Inc(1)
	}
}

// Move asks where the answer of a prefilled grant goes on. The action is MoveTo
// or Stay; a host that does not schedule the cell answers Stay.
func (sch *Scheduler) Move(cell, id string) Action {
	sch.mu.Lock()
	run := sch.cells[cell]
	sch.mu.Unlock()
	if run == nil {
		return Stay{ID: id}
	}
	return run.move(id, sch.Clock())
}

// Notify passes a notice of a grant on to its cell.
func (sch *Scheduler) Notify(cell string, eve Event) {
	sch.mu.Lock()
	run := sch.cells[cell]
	sch.mu.Unlock()
	if run != nil {
		run.next(eve, sch.Clock())
	}
}

// OwnerRemoved ends what the incarnations of a host up to the given one hold.
func (sch *Scheduler) OwnerRemoved(own OwnerRemoved) {
	for _, run := range sch.all() {
		run.next(own, sch.Clock())
	}
}

func (sch *Scheduler) all() []*running {
	sch.mu.Lock()
	defer sch.mu.Unlock()
	out := make([]*running, 0, len(sch.cells))
	for _, run := range sch.cells {
		out = append(out, run)
	}
	return out
}

// running finds or starts a cell. A new one reads its engines' loads first.
func (sch *Scheduler) running(ctx context.Context, cell, pool string) *running {
	sch.mu.Lock()
	run := sch.cells[cell]
	if run != nil {
		sch.mu.Unlock()
		return run
	}
	run = &running{name: cell, pool: pool, waiters: map[string]chan Action{}, asked: sch.Clock()}
	if !sch.refresh(run) {
		sch.mu.Unlock()
		return nil
	}
	if sch.cells == nil {
		sch.cells = map[string]*running{}
	}
	sch.cells[cell] = run
	sch.mu.Unlock()
	sch.poll(context.WithoutCancel(ctx), run)
	return run
}

// refresh takes the pool's limits and the engines of the cell over. It reports
// whether the cell exists.
func (sch *Scheduler) refresh(run *running) bool {
	poo, ok := sch.Pool(run.pool)
	if !ok {
		return false
	}
	for _, gro := range Partition(CellScope(run.name), sch.Engines(poo)) {
		if gro.Name != run.name {
			continue
		}
		run.next(Limits{MaxOutstanding: poo.MaxOutstanding, MaxWaiting: poo.MaxWaiting, LongShare: poo.LongShare}, sch.Clock())
		run.next(Listing{gro.Engines}, sch.Clock())
		run.mu.Lock()
		run.engines = gro.Engines
		run.mu.Unlock()
		return true
	}
	return false
}

// Run reads loads and lets time pass until ctx ends.
func (sch *Scheduler) Run(ctx context.Context) {
	var gro sync.WaitGroup
	gro.Go(func() { sch.runTicks(ctx) })
	defer gro.Wait()
	tic := time.NewTicker(sch.Interval)
	defer tic.Stop()
	for {
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
		var pol sync.WaitGroup
		for _, run := range sch.all() {
			if !sch.refresh(run) || run.idle(sch.Clock()) {
				sch.remove(run)
				continue
			}
			pol.Go(func() { sch.poll(ctx, run) })
		}
		pol.Wait()
	}
}

func (sch *Scheduler) remove(run *running) {
	sch.mu.Lock()
	defer sch.mu.Unlock()
	delete(sch.cells, run.name)
}

func (sch *Scheduler) runTicks(ctx context.Context) {
	for {
		dur := idleTick
		for _, run := range sch.all() {
			if run.tick(sch.Clock()) {
				dur = busyTick
			}
		}
		select {
		case <-time.After(dur):
		case <-ctx.Done():
			return
		}
	}
}

// poll reads the engines of a cell that are due.
func (sch *Scheduler) poll(ctx context.Context, run *running) {
	var gro sync.WaitGroup
	for _, end := range run.due(sch.readInterval(), sch.Clock()) {
		gro.Go(func() {
			ctx, stop := context.WithTimeout(ctx, pollTimeout)
			defer stop()
			loa, err := sch.read(ctx, run, end)
			switch {
			case err == nil:
				run.next(Report{end.ID, loa}, sch.Clock())
			case !eris.Is(ctx.Err(), context.Canceled):
				run.next(Unreachable{end.ID}, sch.Clock())
			}
		})
	}
	gro.Wait()
}

// readInterval follows the number of engines of all cells.
func (sch *Scheduler) readInterval() time.Duration {
	cou := 0
	for _, run := range sch.all() {
		cou += run.size()
	}
	return readInterval(cou, sch.Interval)
}

// read takes the short report of an engine, and the whole one where its holders
// are due and the traffic allows them.
func (sch *Scheduler) read(ctx context.Context, run *running, end placer.Endpoint) (invoker.Load, error) {
	loa, err := sch.Loader.Summary(ctx, end.Address)
	if err != nil || !run.wantsHolders(end.ID, loa, sch.Clock()) {
		return loa, err
	}
	return sch.Loader.Load(ctx, end.Address)
}

func (run *running) idle(now time.Time) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return now.Sub(run.asked) > cellIdleTimeout && run.cell.Granted() == 0 && run.cell.Waiting() == 0
}

func (run *running) wait(now time.Time) time.Duration {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.cell.ExpectedWait(now)
}

// ask returns the action for the ask, or the channel that will carry it.
func (run *running) ask(eve Request, now time.Time) (Action, chan Action) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.asked = now
	wai := make(chan Action, 1)
	run.waiters[eve.ID] = wai
	run.deliver(run.cell.Next(eve, now))
	select {
	case act := <-wai:
		return act, nil
	default:
		return nil, wai
	}
}

// leave ends the wait for an ask. It returns the action that came meanwhile.
func (run *running) leave(id string, wai chan Action) Action {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.waiters[id] == wai {
		delete(run.waiters, id)
	}
	select {
	case act := <-wai:
		return act
	default:
		return nil
	}
}

func (run *running) move(id string, now time.Time) Action {
	run.mu.Lock()
	defer run.mu.Unlock()
	var out Action = Stay{ID: id}
	acts := run.cell.Next(Move{id}, now)
	for _, act := range acts {
		switch act.(type) {
		case MoveTo, Stay:
			out = act
		}
	}
	run.deliver(acts)
	return out
}

func (run *running) next(eve Event, now time.Time) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.deliver(run.cell.Next(eve, now))
}

// tick reports whether asks wait.
func (run *running) tick(now time.Time) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.deliver(run.cell.Next(Tick{}, now))
	return run.cell.Waiting() > 0
}

// deliver hands actions to those that wait for them. The grant of an ask that
// nobody waits for stays with the cell until the ask is repeated. The caller
// holds the lock.
func (run *running) deliver(acts []Action) {
	for _, act := range acts {
		id := askOf(act)
		if wai := run.waiters[id]; wai != nil {
			delete(run.waiters, id)
			wai <- act
		}
	}
}

func askOf(act Action) string {
	switch act := act.(type) {
	case Grant:
		return act.ID
	case GrantGroup:
		return act.ID
	case Refuse:
		return act.ID
	default:
		return ""
	}
}
