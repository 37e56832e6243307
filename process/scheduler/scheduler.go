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
	// busyTick and idleTick are the intervals of Tick events while any cell has
	// waiting requests, and while none has.
	busyTick = 5 * time.Millisecond
	idleTick = 50 * time.Millisecond
	// cellIdleTimeout is the time without a request after which a cell without
	// grants is dropped.
	cellIdleTimeout = 30 * time.Second
	pollTimeout     = time.Second
)

// Loader reads the load reports of engines.
type Loader interface {
	// Load reads the full report. Summary reads the report without the list of
	// sequences that occupy the engine's memory.
	Load(ctx context.Context, address string) (invoker.Load, error)
	Summary(ctx context.Context, address string) (invoker.Load, error)
}

// Scheduler runs the cells that a host schedules. All exported fields are
// required.
type Scheduler struct {
	Loader Loader
	// Engines returns the engines of a pool in the host's view.
	Engines func(poo parser.Pool) []placer.Endpoint
	// Pool looks a pool up in the tables in force.
	Pool func(name string) (parser.Pool, bool)
	// Interval is the minimum interval between two reads of an engine's load
	// report.
	Interval time.Duration
	Clock    func() time.Time
	Scope    tally.Scope

	mu    sync.Mutex
	cells map[string]*runningCell
}

// runningCell is one cell with the callers of Submit that wait for its actions.
type runningCell struct {
	name string
	pool string

	mu          sync.Mutex
	cell        Cell
	engines     []placer.Endpoint
	waiters     map[string]chan Action
	lastRequest time.Time
	summaries   summaryPacer
	fullReports fullReportPacer
}

// Submit queues a request in a cell and waits for a Grant, GrantGroup or Refuse for at
// most hold. The returned action is nil if the request is still queued; the requesting
// host then submits the request again. The duration is the expected wait of a new
// request in the cell. When ctx ends, Submit cancels the request or releases its grant.
func (sch *Scheduler) Submit(ctx context.Context, cell, pool string, req Request, hold time.Duration) (Action, time.Duration) {
	run := sch.findOrStart(ctx, cell, pool)
	if run == nil {
		return Refuse{ID: req.ID, Refuse: placer.Refuse{Code: CodeUnavailable, Message: "this host does not know the cell", RetryAfter: minRetryAfter}}, 0
	}
	act, reply := run.submit(req, sch.Clock())
	if act != nil {
		sch.countAction(act)
		return act, run.expectedWait(sch.Clock())
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case act = <-reply:
		sch.countAction(act)
	case <-timer.C:
		act = run.stopWaiting(req.ID, reply)
	case <-ctx.Done():
		_ = run.stopWaiting(req.ID, reply)
		run.apply(Cancel{req.ID}, sch.Clock())
	}
	return act, run.expectedWait(sch.Clock())
}

func (sch *Scheduler) countAction(act Action) {
	switch act := act.(type) {
	case Refuse:
		sch.Scope.Tagged(map[string]string{"code": act.Code}).Counter("cell_refusals").Inc(1)
	default:
		sch.Scope.Counter("cell_grants").Inc(1)
	}
}

// Move returns where the answer of a prefilled grant is decoded. The action is
// MoveTo or Stay; a host that does not schedule the cell returns Stay.
func (sch *Scheduler) Move(cell, id string) Action {
	sch.mu.Lock()
	run := sch.cells[cell]
	sch.mu.Unlock()
	if run == nil {
		return Stay{ID: id}
	}
	return run.move(id, sch.Clock())
}

// Notify passes a notice about a grant to its cell. It does nothing if the host
// does not schedule the cell.
func (sch *Scheduler) Notify(cell string, eve Event) {
	sch.mu.Lock()
	run := sch.cells[cell]
	sch.mu.Unlock()
	if run != nil {
		run.apply(eve, sch.Clock())
	}
}

// RemoveOwner drops the requests and releases the grants of a host's incarnations up
// to the given incarnation, in all cells.
func (sch *Scheduler) RemoveOwner(own OwnerRemoved) {
	for _, run := range sch.runningCells() {
		run.apply(own, sch.Clock())
	}
}

func (sch *Scheduler) runningCells() []*runningCell {
	sch.mu.Lock()
	defer sch.mu.Unlock()
	out := make([]*runningCell, 0, len(sch.cells))
	for _, run := range sch.cells {
		out = append(out, run)
	}
	return out
}

// findOrStart returns a running cell, or starts it and reads the load reports of
// its engines first. It returns nil if the cell does not exist.
func (sch *Scheduler) findOrStart(ctx context.Context, cell, pool string) *runningCell {
	sch.mu.Lock()
	run := sch.cells[cell]
	if run != nil {
		sch.mu.Unlock()
		return run
	}
	run = &runningCell{name: cell, pool: pool, waiters: map[string]chan Action{}, lastRequest: sch.Clock()}
	if !sch.refresh(run) {
		sch.mu.Unlock()
		return nil
	}
	if sch.cells == nil {
		sch.cells = map[string]*runningCell{}
	}
	sch.cells[cell] = run
	sch.mu.Unlock()
	sch.poll(context.WithoutCancel(ctx), run)
	return run
}

// refresh updates the cell with the pool's limits and the cell's engines. It
// reports whether the cell exists.
func (sch *Scheduler) refresh(run *runningCell) bool {
	poo, ok := sch.Pool(run.pool)
	if !ok {
		return false
	}
	for _, members := range Partition(CellScope(run.name), sch.Engines(poo)) {
		if members.Name != run.name {
			continue
		}
		run.apply(Limits{MaxOutstanding: poo.MaxOutstanding, MaxWaiting: poo.MaxWaiting, LongShare: poo.LongShare}, sch.Clock())
		run.apply(Listing{members.Engines}, sch.Clock())
		run.mu.Lock()
		run.engines = members.Engines
		run.mu.Unlock()
		return true
	}
	return false
}

// Run refreshes the cells, reads their load reports, removes idle cells and sends Tick
// events, until ctx ends.
func (sch *Scheduler) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { sch.runTicks(ctx) })
	defer group.Wait()
	ticker := time.NewTicker(sch.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		var polls sync.WaitGroup
		for _, run := range sch.runningCells() {
			if !sch.refresh(run) || run.idle(sch.Clock()) {
				sch.remove(run)
				continue
			}
			polls.Go(func() { sch.poll(ctx, run) })
		}
		polls.Wait()
	}
}

func (sch *Scheduler) remove(run *runningCell) {
	sch.mu.Lock()
	defer sch.mu.Unlock()
	delete(sch.cells, run.name)
}

func (sch *Scheduler) runTicks(ctx context.Context) {
	for {
		interval := idleTick
		for _, run := range sch.runningCells() {
			if run.tick(sch.Clock()) {
				interval = busyTick
			}
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
	}
}

// poll reads the load reports that are due in a cell.
func (sch *Scheduler) poll(ctx context.Context, run *runningCell) {
	var group sync.WaitGroup
	for _, end := range run.dueEngines(sch.currentSummaryInterval(), sch.Clock()) {
		group.Go(func() {
			ctx, stop := context.WithTimeout(ctx, pollTimeout)
			defer stop()
			loa, err := sch.readReport(ctx, run, end)
			switch {
			case err == nil:
				run.apply(Report{end.ID, loa}, sch.Clock())
			case !eris.Is(ctx.Err(), context.Canceled):
				run.apply(Unreachable{end.ID}, sch.Clock())
			}
		})
	}
	group.Wait()
}

// currentSummaryInterval returns the interval between two reads of an engine's
// summary. It grows with the number of engines in all cells.
func (sch *Scheduler) currentSummaryInterval() time.Duration {
	engines := 0
	for _, run := range sch.runningCells() {
		engines += run.engineCount()
	}
	return summaryInterval(engines, sch.Interval)
}

// readReport reads the summary of an engine's load report, then the full report
// if it is due and the traffic limit allows it.
func (sch *Scheduler) readReport(ctx context.Context, run *runningCell, end placer.Endpoint) (invoker.Load, error) {
	loa, err := sch.Loader.Summary(ctx, end.Address)
	if err != nil || !run.wantsFullReport(end.ID, loa, sch.Clock()) {
		return loa, err
	}
	return sch.Loader.Load(ctx, end.Address)
}

func (run *runningCell) idle(now time.Time) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return now.Sub(run.lastRequest) > cellIdleTimeout && run.cell.Granted() == 0 && run.cell.Waiting() == 0
}

func (run *runningCell) expectedWait(now time.Time) time.Duration {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.cell.ExpectedWait(now)
}

// submit returns the action for the request, or the channel on which it will
// arrive.
func (run *runningCell) submit(req Request, now time.Time) (Action, chan Action) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.lastRequest = now
	reply := make(chan Action, 1)
	run.waiters[req.ID] = reply
	run.deliver(run.cell.Next(req, now))
	select {
	case act := <-reply:
		return act, nil
	default:
		return nil, reply
	}
}

// stopWaiting ends the wait for an action. It returns the action if one has
// arrived meanwhile, else nil.
func (run *runningCell) stopWaiting(id string, reply chan Action) Action {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.waiters[id] == reply {
		delete(run.waiters, id)
	}
	select {
	case act := <-reply:
		return act
	default:
		return nil
	}
}

func (run *runningCell) move(id string, now time.Time) Action {
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

func (run *runningCell) apply(eve Event, now time.Time) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.deliver(run.cell.Next(eve, now))
}

// tick reports whether requests wait in the cell.
func (run *runningCell) tick(now time.Time) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.deliver(run.cell.Next(Tick{}, now))
	return run.cell.Waiting() > 0
}

// deliver sends actions to the callers of Submit that wait for them. If no caller
// waits for a grant, the cell repeats the grant when the host repeats the request.
// The caller holds the lock.
func (run *runningCell) deliver(acts []Action) {
	for _, act := range acts {
		id := requestIDOf(act)
		if waiter := run.waiters[id]; waiter != nil {
			delete(run.waiters, id)
			waiter <- act
		}
	}
}

func requestIDOf(act Action) string {
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
