// Package throttler keeps the calls that all hosts together send to an endpoint below the
// limit that the endpoint names in its answers.
//
// Hosts exchange the limits. One host, which all choose alike, permits the calls to a
// limited endpoint, so that the limit holds however many hosts there are. A host that takes
// over begins without permits left over.
package throttler

// Limit is the limit that an endpoint has named. It is an immutable value.
type Limit struct {
	Endpoint string
	// Sequence counts the changes of the endpoint's limit; 0 for none so far.
	Sequence uint64
	// Rate is in calls per second. Lifted reports that the endpoint no longer names a limit.
	Rate   float64
	Lifted bool
}

// newer reports whether lim supersedes old. Of two hosts that observe different changes at
// the same time, the stricter one is right.
func (lim Limit) newer(old Limit) bool {
	switch {
	case lim.Sequence != old.Sequence:
		return lim.Sequence > old.Sequence
	case lim.Lifted != old.Lifted:
		return old.Lifted
	default:
		return !lim.Lifted && lim.Rate < old.Rate
	}
}

// InForce reports whether the endpoint is limited.
func (lim Limit) InForce() bool { return lim.Sequence > 0 && !lim.Lifted }

// WithCold returns whether the endpoint is limited, and its rate in calls per second, if it takes
// coldRate as it is cold; 0 if it is not cold. The stricter limit applies.
func (lim Limit) WithCold(coldRate float64) (limited bool, rate float64) {
	switch {
	case coldRate <= 0:
		return lim.InForce(), lim.Rate
	case lim.InForce():
		return true, min(lim.Rate, coldRate)
	default:
		return true, coldRate
	}
}

// WithObserved returns the limit after an answer that named a rate, or named none. sent is
// the sequence of the limit as known when the answered call was sent: an answer to an
// earlier call does not show that the limit has been lifted since.
func (lim Limit) WithObserved(rate float64, named bool, sent uint64) Limit {
	switch {
	case named && (!lim.InForce() || rate != lim.Rate):
		return Limit{Endpoint: lim.Endpoint, Sequence: lim.Sequence + 1, Rate: rate}
	case !named && lim.InForce() && sent >= lim.Sequence:
		return Limit{Endpoint: lim.Endpoint, Sequence: lim.Sequence + 1, Lifted: true}
	default:
		return lim
	}
}
