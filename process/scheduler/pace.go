package scheduler

import (
	"time"

	"hemlockpin/request/placer"
)

const (
	// summaryRate bounds the traffic of the load report summaries that one host
	// reads for all its cells, in bytes a second. summaryBytes is the estimated
	// size of a summary with its request.
	summaryRate  = 5000
	summaryBytes = 600
	// suspectInterval is the maximum interval between two reads of the summary of an
	// engine that did not answer the last read, or on which a request ended before
	// its first token.
	suspectInterval = time.Second
)

// summaryInterval returns the interval between two reads of an engine's summary, for a
// host whose cells have the given number of engines in total.
func summaryInterval(engines int, minInterval time.Duration) time.Duration {
	return max(minInterval, time.Duration(engines)*time.Second*summaryBytes/summaryRate)
}

// summaryPacer decides when the summaries of a cell's engines are read. The summary of
// a new engine is read at once; the next reads are spread evenly over the interval. The
// zero value is ready for use.
type summaryPacer struct {
	lastRead map[string]time.Time
}

// due returns the engines whose summaries are to be read now, and records the reads.
// mayHaveFailed reports whether an engine may have failed.
func (pac *summaryPacer) due(engines []placer.Endpoint, interval time.Duration, mayHaveFailed func(id string) bool, now time.Time) []placer.Endpoint {
	old := pac.lastRead
	pac.lastRead = make(map[string]time.Time, len(engines))
	var out []placer.Endpoint
	for i, end := range engines {
		last, known := old[end.ID]
		limit := interval
		if mayHaveFailed(end.ID) {
			limit = min(limit, suspectInterval)
		}
		switch {
		case !known:
			last = now.Add(-interval * time.Duration(i) / time.Duration(len(engines)))
			out = append(out, end)
		case now.Sub(last) >= limit:
			last = now
			out = append(out, end)
		}
		pac.lastRead[end.ID] = last
	}
	return out
}

// dueEngines returns the engines of the cell whose summaries are to be read now.
func (run *runningCell) dueEngines(interval time.Duration, now time.Time) []placer.Endpoint {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.summaries.due(run.engines, interval, run.cell.MayHaveFailed, now)
}

func (run *runningCell) engineCount() int {
	run.mu.Lock()
	defer run.mu.Unlock()
	return len(run.engines)
}
