// Package overflower decides which cell of another region takes a request that the host's
// own region cannot serve in time.
//
// The scheduler of a cell summarises its capacity in a digest. A heartbeat carries at
// most maxPerHeartbeat digests: those sent least often first and, among digests sent
// equally often, the newest first. So the cost of heartbeats does not grow with the
// fleet. A request goes to another region at most once: a scheduler never forwards a
// request to another region.
package overflower

import (
	"slices"
	"time"
)

const (
	// maxDigestAge is the age above which a digest is not used.
	maxDigestAge = 15 * time.Second
	// maxWaitShare is the share of a request's remaining time that the expected wait in
	// another region may take.
	maxWaitShare = 0.25
	// ageShare is the share of a digest's age that counts as additional wait, since the
	// state of the cell may have changed.
	ageShare = 0.02
)

// Digest is the capacity of a cell.
type Digest struct {
	Region string
	Pool   string
	// Number is the number of the cell in its pool and region, from 0 to Cells-1.
	Number int
	// Cells is the number of cells of the pool in the region.
	Cells   int
	Engines int
	// Wait is the expected wait of a new request.
	Wait time.Duration
	// Full reports that the cell refuses new requests.
	Full bool
	// At is when the scheduler made the digest.
	At time.Time
}

// Requirements are what a request requires of a cell in another region.
type Requirements struct {
	Pool string
	// OwnRegion is the region of the host. Its cells are not chosen.
	OwnRegion string
	// AllowsRegion reports whether cells of a region may be chosen.
	AllowsRegion func(region string) bool
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// Choose returns a digest that meets the requirements, if there is one. It draws two
// digests at random, each with a probability in proportion to its engines, and returns
// the digest with the lower cost, so that hosts with the same digests do not all choose
// the same cell. draw returns a number from 0 to below-1.
func Choose(available []Digest, rqs Requirements, now time.Time, draw func(below int) int) (Digest, bool) {
	candidates := slices.DeleteFunc(slices.Clone(available), func(dig Digest) bool { return !rqs.fits(dig, now) })
	var engines int
	for _, dig := range candidates {
		engines += dig.Engines
	}
	if engines == 0 {
		return Digest{}, false
	}
	first, second := digestAt(candidates, draw(engines)), digestAt(candidates, draw(engines))
	if second.cost(now) < first.cost(now) {
		return second, true
	}
	return first, true
}

func (rqs Requirements) fits(dig Digest, now time.Time) bool {
	switch {
	case dig.Pool != rqs.Pool, dig.Region == rqs.OwnRegion, !rqs.AllowsRegion(dig.Region):
		return false
	case dig.Full, now.Sub(dig.At) > maxDigestAge:
		return false
	default:
		return dig.Wait.Seconds() <= maxWaitShare*rqs.TimeLeft.Seconds()
	}
}

// cost returns the expected wait plus ageShare of the digest's age.
func (dig Digest) cost(now time.Time) time.Duration {
	return dig.Wait + time.Duration(ageShare*float64(now.Sub(dig.At)))
}

// digestAt returns the digest at position n when each digest occupies as many positions
// as it has engines.
func digestAt(candidates []Digest, n int) Digest {
	for _, dig := range candidates {
		if n < dig.Engines {
			return dig
		}
		n -= dig.Engines
	}
	return candidates[len(candidates)-1]
}
