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
	// minAgeDifference is how much newer than the stored digest a received digest must
	// be to replace it. Smaller differences can result from the error in a digest's age
	// that the transport causes.
	minAgeDifference = AnnounceInterval / 2
	// maxPerHeartbeat bounds the digests in one heartbeat.
	maxPerHeartbeat = 8
	// maxSends bounds the heartbeats in which a host sends a digest.
	maxSends = 12
	// refusalPause is how long a cell is not chosen after it refused a request.
	refusalPause = time.Second
	// minUnresponsivePause is how long a region is not chosen after its scheduler did not
	// answer once. A single reply may be late because this host is busy, and there may be
	// no other region. The pause doubles with each further time up to
	// maxUnresponsivePause.
	minUnresponsivePause = 250 * time.Millisecond
	maxUnresponsivePause = 3 * time.Second
)

type cellKey struct {
	region string
	pool   string
	number int
}

// unresponsiveRegion records that schedulers of a region did not answer.
type unresponsiveRegion struct {
	pause time.Duration
	until time.Time
}

type entry struct {
	Digest
	// sends is the number of heartbeats that carried the digest.
	sends int
}

// Digests stores the digests that a host has received or made. Its zero value is ready.
type Digests struct {
	mu           sync.Mutex
	known        map[cellKey]entry
	refusedAt    map[cellKey]time.Time
	unresponsive map[string]unresponsiveRegion
}

// Record stores a digest if its cell has no stored digest or one that is older by at
// least minAgeDifference, and reports whether the digest was stored.
func (digs *Digests) Record(dig Digest) bool {
	digs.mu.Lock()
	defer digs.mu.Unlock()
	if digs.known == nil {
		digs.known = map[cellKey]entry{}
	}
	key := cellKey{dig.Region, dig.Pool, dig.Number}
	if old, ok := digs.known[key]; ok && dig.At.Sub(old.At) < minAgeDifference {
		return false
	}
	digs.known[key] = entry{Digest: dig}
	return true
}

// RecordRefusal records that a cell refused a request.
func (digs *Digests) RecordRefusal(dig Digest, now time.Time) {
	digs.mu.Lock()
	defer digs.mu.Unlock()
	if digs.refusedAt == nil {
		digs.refusedAt = map[cellKey]time.Time{}
	}
	digs.refusedAt[cellKey{dig.Region, dig.Pool, dig.Number}] = now
}

// RecordUnresponsive records that a scheduler of a region did not answer. Calls that ended
// during the same pause count once.
func (digs *Digests) RecordUnresponsive(region string, now time.Time) {
	digs.mu.Lock()
	defer digs.mu.Unlock()
	if digs.unresponsive == nil {
		digs.unresponsive = map[string]unresponsiveRegion{}
	}
	unr := digs.unresponsive[region]
	if now.Before(unr.until) {
		return
	}
	unr.pause = min(maxUnresponsivePause, max(minUnresponsivePause, 2*unr.pause))
	unr.until = now.Add(unr.pause)
	digs.unresponsive[region] = unr
}

// RecordAnswer records that a scheduler of a region answered.
func (digs *Digests) RecordAnswer(region string) {
	digs.mu.Lock()
	defer digs.mu.Unlock()
	delete(digs.unresponsive, region)
}

// Choose returns the digest of a cell in another region that meets the requirements, if
// there is one.
func (digs *Digests) Choose(rqs Requirements, now time.Time) (Digest, bool) {
	return Choose(digs.available(now), rqs, now, rand.IntN)
}

// available returns the digests without those of cells that refused a request within
// refusalPause and of regions that are unresponsive.
func (digs *Digests) available(now time.Time) []Digest {
	digs.mu.Lock()
	defer digs.mu.Unlock()
	digs.dropOld(now)
	out := make([]Digest, 0, len(digs.known))
	for key, ent := range digs.known {
		if now.Sub(digs.refusedAt[key]) >= refusalPause && !now.Before(digs.unresponsive[key.region].until) {
			out = append(out, ent.Digest)
		}
	}
	return out
}

// Count returns the number of cells in other regions whose digests are stored.
func (digs *Digests) Count(region string, now time.Time) int {
	digs.mu.Lock()
	defer digs.mu.Unlock()
	digs.dropOld(now)
	count := 0
	for key := range digs.known {
		if key.region != region {
			count++
		}
	}
	return count
}

// dropOld removes the digests older than maxDigestAge, with the refusals of their
// cells. digs.mu must be held.
func (digs *Digests) dropOld(now time.Time) {
	for key, ent := range digs.known {
		if now.Sub(ent.At) > maxDigestAge {
			delete(digs.known, key)
			delete(digs.refusedAt, key)
		}
	}
}

// Outgoing returns the digests for a heartbeat to a host of a region, those sent least
// often first. Digests of the region itself are left out since its hosts do not use them.
func (digs *Digests) Outgoing(region string, now time.Time) []*messenger.CellDigest {
	digs.mu.Lock()
	defer digs.mu.Unlock()
	digs.dropOld(now)
	var due []entry
	for _, ent := range digs.known {
		if ent.Region != region && ent.sends < maxSends {
			due = append(due, ent)
		}
	}
	slices.SortFunc(due, func(ent, other entry) int {
		return cmp.Or(cmp.Compare(ent.sends, other.sends), other.At.Compare(ent.At))
	})
	var out []*messenger.CellDigest
	for _, ent := range due[:min(len(due), maxPerHeartbeat)] {
		ent.sends++
		digs.known[cellKey{ent.Region, ent.Pool, ent.Number}] = ent
		out = append(out, ent.toMessage(now))
	}
	return out
}

// Merge stores the digests of a heartbeat that are valid and new enough.
func (digs *Digests) Merge(msgs []*messenger.CellDigest, now time.Time) {
	for _, msg := range msgs {
		dig := Digest{
			Region: msg.GetRegion(), Pool: msg.GetPool(), Number: int(msg.GetNumber()), Cells: int(msg.GetCells()),
			Engines: int(msg.GetEngines()), Wait: messenger.Millis(msg.GetWaitMs()), Full: msg.GetFull(),
			At: now.Add(-messenger.Age(msg.GetAgeMs())),
		}
		if now.Sub(dig.At) <= maxDigestAge && dig.Number < dig.Cells {
			digs.Record(dig)
		}
	}
}

func (dig Digest) toMessage(now time.Time) *messenger.CellDigest {
	return &messenger.CellDigest{
		Region: dig.Region, Pool: dig.Pool, Number: uint32(dig.Number), Cells: uint32(dig.Cells), Engines: uint32(dig.Engines),
		WaitMs: dig.Wait.Milliseconds(), Full: dig.Full, AgeMs: max(0, now.Sub(dig.At).Milliseconds()),
	}
}
