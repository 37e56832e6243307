package scheduler

import (
	"time"

	"hemlockpin/connection/invoker"
)

const (
	// holdersInterval is the least time between two reads of who holds the
	// memory of one engine.
	holdersInterval = time.Second
	// holdersRate and holdersBurst bound the traffic of these reads for one
	// cell, in bytes a second and in bytes.
	holdersRate  = 3000
	holdersBurst = 60_000
	// forgetHolders is the time after which an engine that was not asked for
	// has left the cell.
	forgetHolders = time.Minute
	// reportBytes and sequenceBytes estimate the length of a packed report.
	reportBytes   = 400
	sequenceBytes = 50
)

// holderPace paces the reads of who holds the memory of a cell's engines. Its zero
// value allows a burst.
type holderPace struct {
	spent float64
	at    time.Time
	reads map[string]holderRead
}

// holderRead is when an engine's holders were read and last asked for.
type holderRead struct{ read, asked time.Time }

// due reports whether an engine's holders may be read now, and counts the read.
// Where traffic is short, the engine that was read longest ago goes first.
func (hol *holderPace) due(id string, sequences int, now time.Time) bool {
	if hol.reads == nil {
		hol.reads = map[string]holderRead{}
	}
	las := hol.reads[id].read
	hol.reads[id] = holderRead{las, now}
	hol.spent = max(0, hol.spent-now.Sub(hol.at).Seconds()*holdersRate)
	hol.at = now
	cos := float64(reportBytes + sequences*sequenceBytes)
	switch {
	case now.Sub(las) < holdersInterval:
		return false
	case hol.spent+cos > holdersBurst/2 && hol.olderThan(las):
		return false
	case hol.spent > 0 && hol.spent+cos > holdersBurst:
		return false
	}
	hol.spent += cos
	hol.reads[id] = holderRead{now, now}
	return true
}

// olderThan reports whether an engine that is still asked for was read before a
// time. It forgets the others.
func (hol *holderPace) olderThan(tim time.Time) bool {
	for id, oth := range hol.reads {
		if hol.at.Sub(oth.asked) > forgetHolders {
			delete(hol.reads, id)
			continue
		}
		if oth.read.Before(tim) {
			return true
		}
	}
	return false
}

// wantsHolders reports whether the whole report of an engine is to be read. An
// engine that holds nothing, as the cell believes too, has no holders.
func (run *running) wantsHolders(id string, loa invoker.Load, now time.Time) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	if loa.Running+loa.Queued == 0 && loa.UsedTokens == 0 && run.cell.holdsNothing(id) {
		return false
	}
	return run.holders.due(id, loa.Running+loa.Queued, now)
}

// holdsNothing reports whether no memory of an engine is accounted for.
func (cel *Cell) holdsNothing(id string) bool {
	eng := cel.byID[id]
	return eng == nil || eng.used == 0 && eng.foreign == 0
}
