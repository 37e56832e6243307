package limiter

import "time"

// Fleet is what the bound of a team's admission depends on.
type Fleet struct {
	Hosts int
	// Cut is the number of hosts that don't reach the team's keeper.
	WithoutCoordinator int
	// Parts is the number of parts of the fleet that hold each other for dead;
	// 0 means one.
	Partitions int
	// Restarts counts the hosts that were restarted in the time. They don't know
	// what they have admitted before.
	Restarts int
	// Losses counts the keepers that were lost in the time, and their lost
	// replies.
	CoordinatorLosses int
}

// Bound returns the most tokens that a fleet admits of a team with a rate in a
// time, when no request has more than largest tokens. Hosts that don't reach the
// keeper take 1/Hosts each beside the rate that the others share, and parts of
// a fleet that don't know of each other share the whole rate each.
func (fle Fleet) Bound(rate float64, period time.Duration, largest int64) float64 {
	hos := float64(max(1, fle.Hosts))
	sha := 1 + startShare + float64(fle.WithoutCoordinator)/hos
	sav := Burst + ShareLife + time.Duration(fle.CoordinatorLosses)*ShareLife
	sta := hos + float64(fle.Restarts)
	return float64(max(1, fle.Partitions))*rate*(sha*period.Seconds()+sav.Seconds()+Burst.Seconds()*float64(fle.Restarts)/hos) + sta*float64(largest)
}
