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

// farGrace is what a scheduler of another region gets beyond the time for one
// of the own region.
const farGrace = 250 * time.Millisecond

// errNoEngine says that the own region's scheduler sees no live engine.
var errNoEngine = eris.New("allocator: no engine of the cell reports")

// fromCell asks the scheduler of a cell of the own region and, where that can't
// serve the request in time and the pool allows it, one of another region.
// errNoScheduler tells the caller to place by itself.
func (all *Allocator) fromCell(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	lea, err := all.fromOwnCell(ctx, req, poo)
	if overflows(err) {
		if far, ok := all.fromFarCell(ctx, req, poo); ok {
			return far, nil
		}
	}
	if eris.Is(err, errNoEngine) {
		err = errNoScheduler
	}
	return lea, err
}

// overflows reports whether another region may have room for what the own one
// has turned away.
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

// fromFarCell asks one cell of another region once. What it refuses is left to
// the own region's refusal.
func (all *Allocator) fromFarCell(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, bool) {
	dig, ok := all.far(req, poo, time.Now())
	if !ok {
		return executor.Lease{}, false
	}
	lea, err := all.askFar(ctx, req, poo, dig)
	all.Cells.countFar(dig.Region, err)
	return lea, err == nil
}

// far chooses a cell of another region that may serve the request, or none.
func (all *Allocator) far(req placer.Request, poo parser.Pool, now time.Time) (overflower.Digest, bool) {
	if all.Cells == nil || len(poo.Overflow) == 0 {
		return overflower.Digest{}, false
	}
	wan := overflower.Want{Pool: poo.Name, Own: all.Cells.Region, Takes: poo.Takes, Slack: req.Deadline.Sub(now)}
	return all.Cells.OtherRegions.Choose(wan, now)
}

func (all *Allocator) askFar(ctx context.Context, req placer.Request, poo parser.Pool, dig overflower.Digest) (executor.Lease, error) {
	cel := all.Cells
	nam := scheduler.CellName(dig.Region+"/"+poo.Name, dig.Number)
	hoss := cel.candidates(nam, dig.Region, time.Now())
	if len(hoss) == 0 {
		return executor.Lease{}, errNoScheduler
	}
	hos := hoss[0]
	ask := cel.newAsk(req)
	act, err := cel.askHost(ctx, hos, nam, poo.Name, ask, farGrace)
	if err != nil {
		cel.notify(hos, nam, ask.ID, messenger.GrantNotice_KIND_RELEASED)
		if ctx.Err() == nil {
			cel.suspect(hos.id, time.Now())
			cel.OtherRegions.Silent(dig.Region, time.Now())
		}
		return executor.Lease{}, err
	}
	if _, ok := act.(scheduler.Refuse); ok {
		cel.OtherRegions.Refused(dig, time.Now())
	}
	return all.granted(ctx, req, act, grantor{hos, nam, ask.ID})
}

func (cel *Cells) countFar(region string, err error) {
	res := "granted"
	var ref *executor.RefusedError
	switch {
	case eris.As(err, &ref), eris.Is(err, errNoEngine):
		res = "refused"
	case err != nil:
		res = "unreached"
	}
	cel.Scope.Tagged(map[string]string{"region": region, "result": res}).Counter("cell_overflows").Inc(1)
}

// RecordOwnDigests notes the digests of the cells of a pool that this host schedules,
// for the hosts of other regions. engines is the number of the pool's engines
// in the region.
func (cel *Cells) RecordOwnDigests(pool string, engines int, now time.Time) {
	if cel.Region == "" || engines == 0 {
		return
	}
	cou := scheduler.CellCount(engines)
	for num := range cou {
		nam := scheduler.CellName(cel.Region+"/"+pool, num)
		if hoss := cel.candidates(nam, cel.Region, now); len(hoss) == 0 || hoss[0].id != cel.Self {
			continue
		}
		dig := overflower.Digest{Region: cel.Region, Pool: pool, Number: num, Cells: cou, Engines: max(1, engines/cou), At: now}
		cel.mu.Lock()
		dig.Wait = cel.wait(nam, now)
		dig.Full = cel.digests[nam].full && now.Sub(cel.digests[nam].at) < digestLife
		cel.mu.Unlock()
		cel.OtherRegions.Note(dig)
	}
}
