package scheduler

import (
	"time"

	"hemlockpin/request/placer"
)

const (
	// summaryRate bounds the traffic of the short load reports that one host
	// reads for all its cells, in bytes a second; summaryBytes estimates one
	// with its question.
	summaryRate  = 5000
	summaryBytes = 600
	// lostInterval is the time between two reads of an engine that did not
	// answer the last one, or that a prompt has left before its first token.
	lostInterval = time.Second
)

// readInterval is the time between two reads of an engine by a host whose cells
// have a number of engines together.
func readInterval(engines int, least time.Duration) time.Duration {
	return max(least, time.Duration(engines)*time.Second*summaryBytes/summaryRate)
}

// readPace says which engines of a cell are to be read. Its zero value reads all
// at once and spreads the later reads over the interval.
type readPace struct {
	reads map[string]time.Time
}

// due returns the engines to read now and counts them as read. doubted tells of
// engines that may have failed.
func (rea *readPace) due(engines []placer.Endpoint, interval time.Duration, doubted func(id string) bool, now time.Time) []placer.Endpoint {
	old := rea.reads
	rea.reads = make(map[string]time.Time, len(engines))
	var out []placer.Endpoint
	for ind, end := range engines {
		las, known := old[end.ID]
		lim := interval
		if doubted(end.ID) {
			lim = min(lim, lostInterval)
		}
		switch {
		case !known:
			las = now.Add(-interval * time.Duration(ind) / time.Duration(len(engines)))
			out = append(out, end)
		case now.Sub(las) >= lim:
			las = now
			out = append(out, end)
		}
		rea.reads[end.ID] = las
	}
	return out
}

// due returns the engines of the cell to read now.
func (run *running) due(interval time.Duration, now time.Time) []placer.Endpoint {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.reads.due(run.engines, interval, run.cell.Suspected, now)
}

func (run *running) size() int {
	run.mu.Lock()
	defer run.mu.Unlock()
	return len(run.engines)
}
