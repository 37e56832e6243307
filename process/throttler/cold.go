package throttler

const (
	// holders is the number of hosts that may be in charge of an endpoint at once, while hosts
	// differ in their views.
	holders = 2
	// steadyShare is the part of a host's allowance in a second that comes steadily; burstShare is
	// the part that may follow each other at once.
	steadyShare = 0.65
	burstShare  = 0.3
)

// ColdLimit is what an endpoint that is cold takes from one host in charge of it. It is an
// immutable value; the zero value is that of an endpoint that is not cold.
type ColdLimit struct {
	// Rate is in calls per second. Burst is the number of calls that may follow each other at once.
	Rate  float64
	Burst float64
}

// NewColdLimit returns the limit of an endpoint that takes rate calls a second while it is cold.
// In no second may it get more than overage times that and slack calls.
func NewColdLimit(rate, overage, slack float64) ColdLimit {
	allowance := (rate*max(1, overage) + max(0, slack)) / holders
	return ColdLimit{Rate: min(rate, steadyShare*allowance), Burst: max(1, float64(int(burstShare*allowance)))}
}

// Cold reports whether the endpoint is cold.
func (col ColdLimit) Cold() bool { return col.Rate > 0 }

// WithShare returns the limit of calls that may use a share of it.
func (col ColdLimit) WithShare(share float64) ColdLimit {
	col.Rate *= share
	return col
}
