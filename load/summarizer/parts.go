package summarizer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parts says where traced prompts spent the time to their first token.
type Parts struct {
	// Placement is the wait for an engine.
	Placement Times
	// Rest is the time between the grant of an engine and the first token.
	Rest Times
	// Slowdown is the rest over the whole time on idle engines.
	Slowdown Ratios
}

// PartsRecorder records the parts of prompts. Use NewPartsRecorder.
type PartsRecorder struct {
	placement *hdrhistogram.Histogram
	rest      *hdrhistogram.Histogram
	slowdown  *hdrhistogram.Histogram
}

// NewPartsRecorder returns a recorder without prompts.
func NewPartsRecorder() *PartsRecorder {
	return &PartsRecorder{placement: newHistogram(), rest: newHistogram(), slowdown: newHistogram()}
}

// Add counts one answered prompt.
func (spl *PartsRecorder) Add(placement, first, idle time.Duration) {
	record(spl.placement, placement)
	record(spl.rest, first-placement)
	recordRatio(spl.slowdown, first-placement, idle)
}

// Parts returns what was collected, nil if there was no prompt.
func (spl *PartsRecorder) Parts() *Parts {
	if spl.placement.TotalCount() == 0 {
		return nil
	}
	return &Parts{Placement: timesOf(spl.placement), Rest: timesOf(spl.rest), Slowdown: ratiosOf(spl.slowdown)}
}
