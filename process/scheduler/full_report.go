package scheduler

import (
	"time"

	"hemlockpin/connection/invoker"
)

const (
	// fullReportInterval is the minimum time between two reads of an engine's full
	// load report, which lists the sequences that occupy its memory.
	fullReportInterval = time.Second
	// fullReportRate and fullReportBurst bound the traffic of full reports for one
	// cell, in bytes a second and in bytes.
	fullReportRate  = 3000
	fullReportBurst = 60_000
	// fullReportExpiry is the time after which an engine for which no full report
	// was wanted no longer competes for the traffic; it may have left the cell.
	fullReportExpiry = time.Minute
	// reportBytes and sequenceBytes are the estimated sizes of a compressed report
	// without sequences and of each sequence.
	reportBytes   = 400
	sequenceBytes = 50
)

// fullReportPacer decides when full load reports are read. It is a leaky bucket
// for the traffic of one cell. Its zero value allows a burst.
type fullReportPacer struct {
	// spent is the level of the bucket, in bytes.
	spent     float64
	updatedAt time.Time
	reads     map[string]fullReportRead
}

// fullReportRead is when an engine's full report was last read and last wanted.
type fullReportRead struct{ readAt, wantedAt time.Time }

// due reports whether an engine's full report may be read now, and counts the read.
// Once more than half of the burst is spent, only the engine that was read longest
// ago is due.
func (pac *fullReportPacer) due(id string, sequences int, now time.Time) bool {
	if pac.reads == nil {
		pac.reads = map[string]fullReportRead{}
	}
	last := pac.reads[id].readAt
	pac.reads[id] = fullReportRead{last, now}
	pac.spent = max(0, pac.spent-now.Sub(pac.updatedAt).Seconds()*fullReportRate)
	pac.updatedAt = now
	cost := float64(reportBytes + sequences*sequenceBytes)
	switch {
	case now.Sub(last) < fullReportInterval:
		return false
	case pac.spent+cost > fullReportBurst/2 && pac.anyReadBefore(last):
		return false
	case pac.spent > 0 && pac.spent+cost > fullReportBurst:
		return false
	}
	pac.spent += cost
	pac.reads[id] = fullReportRead{now, now}
	return true
}

// anyReadBefore reports whether the full report of another engine, if it is still
// wanted, was last read before the given time. It forgets engines whose report has not
// been wanted for fullReportExpiry.
func (pac *fullReportPacer) anyReadBefore(at time.Time) bool {
	for id, other := range pac.reads {
		if pac.updatedAt.Sub(other.wantedAt) > fullReportExpiry {
			delete(pac.reads, id)
			continue
		}
		if other.readAt.Before(at) {
			return true
		}
	}
	return false
}

// wantsFullReport reports whether the full report of an engine is to be read. It is
// not needed if the summary shows no sequences and no used memory, and the cell
// accounts for none either.
func (run *runningCell) wantsFullReport(id string, loa invoker.Load, now time.Time) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	if loa.Running+loa.Queued == 0 && loa.UsedTokens == 0 && run.cell.usesNoMemory(id) {
		return false
	}
	return run.fullReports.due(id, loa.Running+loa.Queued, now)
}

// usesNoMemory reports whether the cell accounts for no used memory on an engine.
func (cel *Cell) usesNoMemory(id string) bool {
	eng := cel.byID[id]
	return eng == nil || eng.used == 0 && eng.foreign == 0
}
