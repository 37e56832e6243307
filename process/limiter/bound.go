package limiter

import "time"

// Fleet holds what the bound on a team's admitted tokens depends on.
type Fleet struct {
	Hosts int
	// WithoutCoordinator is the number of hosts that cannot reach the team's coordinator.
	WithoutCoordinator int
	// Partitions is the number of partitions of the fleet whose hosts consider those of
	// the others dead; 0 means one.
	Partitions int
	// Restarts is the number of hosts that restarted in the period. A restarted host does
	// not know what it admitted before.
	Restarts int
	// CoordinatorLosses is the number of coordinators that failed in the period and of
	// their replies that were lost.
	CoordinatorLosses int
}

// Bound returns the most tokens that a fleet admits in a period for a team with a rate,
// if no request has more than largest tokens. Each host that cannot reach the coordinator
// uses 1/Hosts of the rate in addition to what the other hosts share, and each partition
// uses the full rate.
func (fle Fleet) Bound(rate float64, period time.Duration, largest int64) float64 {
	hosts := float64(max(1, fle.Hosts))
	rateShare := 1 + baseShare + float64(fle.WithoutCoordinator)/hosts
	savedTime := Burst + ShareLife + time.Duration(fle.CoordinatorLosses)*ShareLife
	starts := hosts + float64(fle.Restarts)
	return float64(max(1, fle.Partitions))*rate*(rateShare*period.Seconds()+savedTime.Seconds()+Burst.Seconds()*float64(fle.Restarts)/hosts) + starts*float64(largest)
}
