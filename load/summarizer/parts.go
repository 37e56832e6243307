package summarizer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parts is the time to the first token of traced prompts, divided into the wait
// for an engine and the rest.
type Parts struct {
	// Placement is the wait for an engine.
	Placement Times
	// Rest is the time between the grant of an engine and the first token.
	Rest Times
	// Slowdown is Rest divided by the time to the first token on idle engines.
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

// Add records one answered prompt: its wait for an engine, its time to the first
// token, and that time on idle engines.
func (rec *PartsRecorder) Add(placement, first, idle time.Duration) {
	recordTime(rec.placement, placement)
	recordTime(rec.rest, first-placement)
	recordRatio(rec.slowdown, first-placement, idle)
}

// Parts returns the distributions of the recorded prompts; nil if there are none.
func (rec *PartsRecorder) Parts() *Parts {
	if rec.placement.TotalCount() == 0 {
		return nil
	}
	return &Parts{Placement: timesOf(rec.placement), Rest: timesOf(rec.rest), Slowdown: ratiosOf(rec.slowdown)}
}
