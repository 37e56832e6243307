package assigner

import (
	"time"

	"hemlockpin/process/planner"
)

const (
	// unusedLimit is how long reserved memory may stay without the request that it is for, as
	// with an engine that hangs before it runs the request. It is below the 9 s after which the
	// platform takes such memory for abandoned.
	unusedLimit = 7 * time.Second
	// unusedReports is the number of reports in a row that must show the memory unused after its
	// use: one may come from between two passes of the engine.
	unusedReports = 2
)

// reservationUse is what the reports of an engine have shown of the memory that is reserved for
// a request. It is an immutable value; the zero value with the time of the reservation is that
// of a new one.
type reservationUse struct {
	since time.Time
	used  bool
	// unused counts the last reports in a row without use.
	unused int
}

// WithReport returns the use after a report of the engine's reservations. A state that is not known
// shows nothing.
func (use reservationUse) WithReport(ress []planner.Reservation, id string) reservationUse {
	for _, res := range ress {
		if res.ID != id {
			continue
		}
		if res.Used {
			use.used, use.unused = true, 0
		}
		if res.Used || res.Unknown {
			return use
		}
	}
	use.unused++
	return use
}

// Doubtful reports whether the last report showed the memory unused after its use, so that the
// next report should come soon.
func (use reservationUse) Doubtful() bool { return use.used && use.unused > 0 }

// Ended reports whether the memory is no longer needed: the request that has used it has ended,
// or none has used it for unusedLimit. Without reports that show so, it is still needed.
func (use reservationUse) Ended(now time.Time) bool {
	return use.unused >= unusedReports && (use.used || now.Sub(use.since) >= unusedLimit)
}
