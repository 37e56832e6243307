package limiter

import "time"

// Fleet describes the hosts and the faults in a period, from which Bound is computed.
type Fleet struct {
	Hosts int
	// WithoutCoordinator is the number of hosts that cannot reach the team's coordinator.
	WithoutCoordinator int
	// Partitions is the number of parts of the fleet that cannot reach one another, so
	// that each considers the hosts of the other parts dead; 0 means one.
	Partitions int
	// Restarts is the number of hosts that restarted in the period. A restarted host does
	// not know what it admitted before.
	Restarts int
	// CoordinatorLosses is the number of failures of coordinators in the period plus
	// the number of their replies that were lost.
	CoordinatorLosses int
}

// Bound returns an upper bound of the tokens that a fleet admits in a period for a team
// with a rate in tokens a second, if no request has more than largestRequest tokens.
// Each host that cannot reach the coordinator uses 1/Hosts of the rate in addition to
// what the other hosts share, and each partition uses the full rate.
func (fle Fleet) Bound(rate float64, period time.Duration, largestRequest int64) float64 {
	hosts := float64(max(1, fle.Hosts))
	rateFactor := 1 + baseShare + float64(fle.WithoutCoordinator)/hosts
	extraTime := Burst + ShareLife + time.Duration(fle.CoordinatorLosses)*ShareLife
	processes := hosts + float64(fle.Restarts)
	return float64(max(1, fle.Partitions))*rate*(rateFactor*period.Seconds()+extraTime.Seconds()+Burst.Seconds()*float64(fle.Restarts)/hosts) + processes*float64(largestRequest)
}
