// Package overflower decides which cell of another region takes a request that
// the host's own region can't serve in time.
//
// The scheduler of a cell sums the cell up in a digest. Digests travel with the
// heartbeats, newest first and few in each, so that their cost does not grow
// with the fleet. A request goes to another region once at most: a scheduler
// never passes an ask on.
package overflower

import (
	"slices"
	"time"
)

const (
	// digestLife is the age from which a digest says nothing any more.
	digestLife = 15 * time.Second
	// waitShare is the part of a request's time that the expected wait in
	// another region may take.
	waitShare = 0.25
	// ageWeight counts the age of a digest as wait, since what it says may have
	// changed.
	ageWeight = 0.02
)

// Digest says what a cell can take.
type Digest struct {
	Region string
	Pool   string
	Number int
	// Cells is the number of cells of the pool in the region.
	Cells   int
	Engines int
	// Wait is the expected wait of a new request.
	Wait time.Duration
	// Full says that the cell refuses new requests.
	Full bool
	// At is when the scheduler took the digest.
	At time.Time
}

// Want is what a request needs of another region.
type Requirements struct {
	Pool string
	// Own is the region of the host; it is not chosen.
	OwnRegion string
	// Takes tells the regions that may be chosen.
	AllowsRegion func(region string) bool
	// Slack is the time left for the request.
	TimeLeft time.Duration
}

// Choose takes one of the digests that fit, or none: of two drawn at random in
// proportion to their engines the one with less wait, so that hosts that hold
// the same digests don't all choose the same cell. draw returns a number below
// its argument.
func Choose(digs []Digest, wan Requirements, now time.Time, draw func(below int) int) (Digest, bool) {
	fit := slices.DeleteFunc(slices.Clone(digs), func(dig Digest) bool { return !wan.fits(dig, now) })
	var engs int
	for _, dig := range fit {
		engs += dig.Engines
	}
	if engs == 0 {
		return Digest{}, false
	}
	one, two := pick(fit, draw(engs)), pick(fit, draw(engs))
	if two.cost(now) < one.cost(now) {
		return two, true
	}
	return one, true
}

func (wan Requirements) fits(dig Digest, now time.Time) bool {
	switch {
	case dig.Pool != wan.Pool, dig.Region == wan.OwnRegion, !wan.AllowsRegion(dig.Region):
		return false
	case dig.Full, now.Sub(dig.At) > digestLife:
		return false
	default:
		return dig.Wait.Seconds() <= waitShare*wan.TimeLeft.Seconds()
	}
}

func (dig Digest) cost(now time.Time) time.Duration {
	return dig.Wait + time.Duration(ageWeight*float64(now.Sub(dig.At)))
}

// pick returns the digest in whose engines a number falls.
func pick(digs []Digest, num int) Digest {
	for _, dig := range digs {
		if num < dig.Engines {
			return dig
		}
		num -= dig.Engines
	}
	return digs[len(digs)-1]
}
