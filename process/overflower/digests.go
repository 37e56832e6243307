package overflower

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
)

const (
	// AnnounceInterval is the time between two digests of a cell.
	AnnounceInterval = 2 * time.Second
	// newsAge is how much younger than the digest held one must be to replace
	// it. It is above the error that the transport makes in a digest's age.
	newsAge = AnnounceInterval / 2
	// maxCarried bounds the digests that one heartbeat carries.
	maxCarried = 8
	// maxSent is how often a host passes a digest on.
	maxSent = 12
	// refusedPeriod is how long a cell that refused a request is left alone.
	refusedPeriod = time.Second
	// silentPeriod is how long a region whose scheduler did not answer is left
	// alone.
	silentPeriod = 3 * time.Second
)

type key struct {
	region string
	pool   string
	number int
}

type held struct {
	Digest
	sent int
}

// Digests holds the digests that a host knows. Its zero value is ready.
type Digests struct {
	mu      sync.Mutex
	known   map[key]held
	refused map[key]time.Time
	silent  map[string]time.Time
}

// Note takes a digest and reports whether it was news.
func (digs *Digests) Record(dig Digest) bool {
	digs.mu.Lock()
	defer digs.mu.Unlock()
	if digs.known == nil {
		digs.known = map[key]held{}
	}
	nam := key{dig.Region, dig.Pool, dig.Number}
	if old, ok := digs.known[nam]; ok && dig.At.Sub(old.At) < newsAge {
		return false
	}
	digs.known[nam] = held{Digest: dig}
	return true
}

// Refused notes that a cell has refused a request.
func (digs *Digests) RecordRefusal(dig Digest, now time.Time) {
	digs.mu.Lock()
	defer digs.mu.Unlock()
	if digs.refused == nil {
		digs.refused = map[key]time.Time{}
	}
	digs.refused[key{dig.Region, dig.Pool, dig.Number}] = now
}

// Silent notes that a scheduler of a region did not answer.
func (digs *Digests) RecordUnresponsive(region string, now time.Time) {
	digs.mu.Lock()
	defer digs.mu.Unlock()
	if digs.silent == nil {
		digs.silent = map[string]time.Time{}
	}
	digs.silent[region] = now
}

// Choose takes a cell of another region for a request, or none.
func (digs *Digests) Choose(wan Requirements, now time.Time) (Digest, bool) {
	return Choose(digs.open(now), wan, now, rand.IntN)
}

// open returns the digests but for those of regions and cells left alone.
func (digs *Digests) open(now time.Time) []Digest {
	digs.mu.Lock()
	defer digs.mu.Unlock()
	digs.forget(now)
	out := make([]Digest, 0, len(digs.known))
	for nam, dig := range digs.known {
		if now.Sub(digs.refused[nam]) >= refusedPeriod && now.Sub(digs.silent[nam.region]) >= silentPeriod {
			out = append(out, dig.Digest)
		}
	}
	return out
}

// Count returns the number of cells of other regions whose digests are held.
func (digs *Digests) Count(region string, now time.Time) int {
	digs.mu.Lock()
	defer digs.mu.Unlock()
	digs.forget(now)
	cou := 0
	for nam := range digs.known {
		if nam.region != region {
			cou++
		}
	}
	return cou
}

// forget drops old digests. The caller holds the lock.
func (digs *Digests) forget(now time.Time) {
	for nam, dig := range digs.known {
		if now.Sub(dig.At) > digestLife {
			delete(digs.known, nam)
			delete(digs.refused, nam)
		}
	}
}

// Outgoing returns the digests for a heartbeat to a host of a region, those sent
// least often first. A region's own digests are of no use to its hosts.
func (digs *Digests) Outgoing(region string, now time.Time) []*messenger.CellDigest {
	digs.mu.Lock()
	defer digs.mu.Unlock()
	digs.forget(now)
	var fit []held
	for _, dig := range digs.known {
		if dig.Region != region && dig.sent < maxSent {
			fit = append(fit, dig)
		}
	}
	slices.SortFunc(fit, func(one, two held) int {
		return cmp.Or(cmp.Compare(one.sent, two.sent), two.At.Compare(one.At))
	})
	var out []*messenger.CellDigest
	for _, dig := range fit[:min(len(fit), maxCarried)] {
		dig.sent++
		digs.known[key{dig.Region, dig.Pool, dig.Number}] = dig
		out = append(out, dig.message(now))
	}
	return out
}

// Take notes digests of peers.
func (digs *Digests) Merge(mess []*messenger.CellDigest, now time.Time) {
	for _, mes := range mess {
		dig := Digest{
			Region: mes.GetRegion(), Pool: mes.GetPool(), Number: int(mes.GetNumber()), Cells: int(mes.GetCells()),
			Engines: int(mes.GetEngines()), Wait: time.Duration(mes.GetWaitMs()) * time.Millisecond, Full: mes.GetFull(),
			At: now.Add(-time.Duration(max(0, mes.GetAgeMs())) * time.Millisecond),
		}
		if now.Sub(dig.At) <= digestLife && dig.Number < dig.Cells {
			digs.Record(dig)
		}
	}
}

func (dig Digest) message(now time.Time) *messenger.CellDigest {
	return &messenger.CellDigest{
		Region: dig.Region, Pool: dig.Pool, Number: uint32(dig.Number), Cells: uint32(dig.Cells), Engines: uint32(dig.Engines),
		WaitMs: dig.Wait.Milliseconds(), Full: dig.Full, AgeMs: max(0, now.Sub(dig.At).Milliseconds()),
	}
}
