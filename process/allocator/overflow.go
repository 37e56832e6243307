package allocator

import (
	"context"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/overflower"
	"hemlockpin/process/scheduler"
	"hemlockpin/request/executor"
	"hemlockpin/request/placer"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
)

// otherRegionGrace is the additional time to reply for a scheduler of another region.
const otherRegionGrace = 250 * time.Millisecond

// errNoEngine means that the cell has no live engine.
var errNoEngine = eris.New("allocator: cell has no live engine")

// placeFromCell places a request through the scheduler of a cell in this host's region.
// If the cell cannot serve the request and the pool has Overflow regions, placeFromCell
// tries a cell of another region. It returns errNoScheduler if the request has to be
// placed from the local view.
func (all *Allocator) placeFromCell(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	lea, err := all.placeInOwnRegion(ctx, req, poo)
	if overflows(err) {
		if other, ok := all.placeInOtherRegion(ctx, req, poo); ok {
			return other, nil
		}
	}
	if eris.Is(err, errNoEngine) {
		err = errNoScheduler
	}
	return lea, err
}

// overflows reports whether another region may serve a request for which this host's
// region has returned the error.
func overflows(err error) bool {
	var ref *executor.RefusedError
	if !eris.As(err, &ref) {
		return eris.Is(err, errNoEngine)
	}
	switch ref.Refuse.Code {
	case scheduler.CodeOverloaded, scheduler.CodePoolFull, scheduler.CodeNoEndpoint, codeGroupUnavailable:
		return true
	default:
		return false
	}
}

// placeInOtherRegion requests a grant once, from one cell of another region. It returns
// false if there is no such cell or the cell does not grant the request.
func (all *Allocator) placeInOtherRegion(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, bool) {
	dig, ok := all.chooseOtherRegion(req, poo, time.Now())
	if !ok {
		return executor.Lease{}, false
	}
	lea, err := all.submitToRegion(ctx, req, poo, dig)
	all.Cells.countOverflow(dig.Region, err)
	return lea, err == nil
}

// chooseOtherRegion returns a cell of another region that may serve the request, if
// there is one.
func (all *Allocator) chooseOtherRegion(req placer.Request, poo parser.Pool, now time.Time) (overflower.Digest, bool) {
	if all.Cells == nil || len(poo.Overflow) == 0 {
		return overflower.Digest{}, false
	}
	want := overflower.Requirements{Pool: poo.Name, OwnRegion: all.Cells.Region, AllowsRegion: poo.AcceptsOverflow, TimeLeft: req.Deadline.Sub(now)}
	return all.Cells.OtherRegions.Choose(want, now)
}

func (all *Allocator) submitToRegion(ctx context.Context, req placer.Request, poo parser.Pool, dig overflower.Digest) (executor.Lease, error) {
	cel := all.Cells
	cell := scheduler.CellName(dig.Region+"/"+poo.Name, dig.Number)
	hosts := cel.candidates(cell, dig.Region, time.Now())
	if len(hosts) == 0 {
		return executor.Lease{}, errNoScheduler
	}
	hos := hosts[0]
	cellReq := cel.newRequest(req)
	act, err := cel.submitToHost(ctx, hos, cell, poo.Name, cellReq, otherRegionGrace)
	if err != nil {
		cel.notify(hos, cell, cellReq.ID, messenger.GrantNotice_KIND_RELEASED)
		if ctx.Err() == nil {
			cel.suspect(hos.id, time.Now())
			cel.OtherRegions.RecordUnresponsive(dig.Region, time.Now())
		}
		return executor.Lease{}, err
	}
	cel.OtherRegions.RecordAnswer(dig.Region)
	if _, ok := act.(scheduler.Refuse); ok {
		cel.OtherRegions.RecordRefusal(dig, time.Now())
	}
	return all.leaseFromAction(ctx, req, act, grantRef{hos, cell, cellReq.ID})
}

func (cel *Cells) countOverflow(region string, err error) {
	result := "granted"
	var ref *executor.RefusedError
	switch {
	case eris.As(err, &ref), eris.Is(err, errNoEngine):
		result = "refused"
	case err != nil:
		result = "unreached"
	}
	cel.Scope.Tagged(map[string]string{"region": region, "result": result}).Counter("cell_overflows").Inc(1)
}

// RecordOwnDigests records the digests of a pool's cells that this host schedules, to
// be sent to hosts of other regions. engines is the number of the pool's engines in
// the region.
func (cel *Cells) RecordOwnDigests(pool string, engines int, now time.Time) {
	if cel.Region == "" || engines == 0 {
		return
	}
	count := scheduler.CellCount(engines)
	for number := range count {
		cell := scheduler.CellName(cel.Region+"/"+pool, number)
		if hosts := cel.candidates(cell, cel.Region, now); len(hosts) == 0 || hosts[0].id != cel.Self {
			continue
		}
		dig := overflower.Digest{Region: cel.Region, Pool: pool, Number: number, Cells: count, Engines: max(1, engines/count), At: now}
		cel.mu.Lock()
		dig.Wait = cel.expectedWait(cell, now)
		dig.Full = cel.digests[cell].full && now.Sub(cel.digests[cell].at) < digestTimeout
		cel.mu.Unlock()
		cel.OtherRegions.Record(dig)
	}
}
