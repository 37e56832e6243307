package allocator

import (
	"time"

	"hemlockpin/process/scheduler"
	"hemlockpin/request/placer"
	"hemlockpin/version/parser"
)

// SchedulerFor returns the cell that a request would be queued in and the ID of the
// host that schedules it. Both are empty if this host has no Cells, or if the pool is
// not a pool of engines or has no endpoint; id is empty if no host can schedule the
// cell.
func (all *Allocator) SchedulerFor(req placer.Request, poo parser.Pool, now time.Time) (cell, id string) {
	if all.Cells == nil || poo.Kind != parser.PoolEngine {
		return "", ""
	}
	all.mu.Lock()
	ends := all.view(poo, now).endpoints
	all.mu.Unlock()
	if len(ends) == 0 {
		return "", ""
	}
	cell = all.Cells.chooseCell(all.Cells.Region+"/"+poo.Name, scheduler.CellCount(len(ends)), req, now)
	for _, hos := range all.Cells.candidates(cell, all.Cells.Region, now) {
		return cell, hos.id
	}
	return cell, ""
}
