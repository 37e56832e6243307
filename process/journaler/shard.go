package journaler

import (
	"maps"
	"slices"
	"time"

	"hemlockpin/connection/messenger"
)

const (
	// Retention is how long a claim is kept to answer repeats, counted from the time of
	// its key.
	Retention = 10 * time.Minute
	// MaxClockSkew is the difference between the hosts' clocks up to which no valid key
	// is refused. A larger difference never causes a call to run twice.
	MaxClockSkew = time.Minute
	// MaxShardBytes bounds the encoded claims of a shard, and thus the memory of its
	// writer.
	MaxShardBytes = 9_000_000
	// Above maxBytesWithBodies, recorded bodies are dropped until the shard is no larger
	// than keptBytesWithBodies.
	maxBytesWithBodies  = MaxShardBytes * 8 / 9
	keptBytesWithBodies = MaxShardBytes * 5 / 6
	// maxSharedOutcomes bounds the distinct outcomes without a body that are kept for
	// sharing.
	maxSharedOutcomes = 256

	millisPerSecond = 1000
)

// Shard is a writer's copy of the claims of a shard. Its zero value is the shard of an
// empty log. Evaluate only reads it; apply changes it, by a Delta that is in the log.
type Shard struct {
	claims map[string]*Claim
	// seconds holds the claims by the Unix second of their key times, so that the cost
	// of dropping old claims does not depend on the number of other claims.
	seconds map[int64]*keySecond
	// oldestSecond is at most the smallest key of seconds.
	oldestSecond int64
	// forgottenMs is the newest key time of a dropped claim. Keys up to this time are
	// refused, so that a dropped claim cannot be claimed again, whatever the clocks of
	// the writers show.
	forgottenMs int64
	// Outcomes of claims with key times up to bodilessMs have lost their bodies.
	bodilessMs     int64
	bytes          int
	bodyBytes      int
	sharedOutcomes map[sharedOutcome]*messenger.Outcome
}

// keySecond holds the claims whose key times are in one second.
type keySecond struct {
	// slots may contain slots of claims that were removed.
	slots    []string
	newestMs int64
	bytes    int
	// bodyBytes is the part of bytes that is freed if the bodies are dropped.
	bodyBytes int
	claims    int
}

// sharedOutcome is the content of an outcome without a body.
type sharedOutcome struct {
	status      int32
	contentType string
	truncated   bool
}

// Delta is the change of a shard by one batch or one segment. Claims with key times up
// to forgottenMs are dropped, those up to bodilessMs lose their bodies, and slots with
// a nil claim are removed.
type Delta struct {
	forgottenMs int64
	bodilessMs  int64
	claims      map[string]*Claim
}

// Len returns the number of claims.
func (sha *Shard) Len() int { return len(sha.claims) }

// Bytes returns an upper bound of the encoded size.
func (sha *Shard) Bytes() int { return sha.bytes }

// Claim returns the claim of a key.
func (sha *Shard) Claim(key string) (Claim, bool) {
	cla, ok := sha.claims[key]
	if !ok {
		return Claim{}, false
	}
	return *cla, true
}

// Evaluate returns the effect of changes in their order: the delta of the shard, a
// result for each change, and whether the delta must be written. The shard itself stays
// unchanged. The cost depends on the changes and not on the size of the shard.
func (sha *Shard) Evaluate(coms []*messenger.ClaimCommit, now time.Time) (Delta, []*messenger.ClaimResult, bool) {
	ovl := newOverlay(sha, len(coms))
	ovl.dropExpired(now)
	results := make([]*messenger.ClaimResult, 0, len(coms))
	changed := false
	for _, com := range coms {
		res, write := ovl.apply(com, now)
		results = append(results, res)
		changed = changed || write
	}
	return ovl.delta, results, changed
}

// apply applies a delta that is in the log.
func (sha *Shard) apply(del Delta) {
	if sha.claims == nil {
		sha.claims, sha.seconds = map[string]*Claim{}, map[int64]*keySecond{}
		sha.sharedOutcomes = map[sharedOutcome]*messenger.Outcome{}
	}
	sha.dropUntil(del.forgottenMs)
	sha.dropBodies(del.bodilessMs)
	for slot, cla := range del.claims {
		if cla == nil {
			sha.remove(slot)
		} else {
			sha.put(cla)
		}
	}
}

func (sha *Shard) put(cla *Claim) {
	if cla.KeyTimeMs <= sha.bodilessMs {
		cla = cla.withoutBody()
	}
	sha.shareOutcome(cla)
	slot := cla.slot()
	second := sha.secondOf(cla)
	if previous, ok := sha.claims[slot]; ok && previous.KeyTimeMs == cla.KeyTimeMs {
		sha.addToTotals(second, previous, -1)
	} else {
		sha.remove(slot)
		second = sha.secondOf(cla)
		second.slots = append(second.slots, slot)
	}
	sha.claims[slot] = cla
	second.newestMs = max(second.newestMs, cla.KeyTimeMs)
	sha.addToTotals(second, cla, 1)
}

func (sha *Shard) secondOf(cla *Claim) *keySecond {
	unixSecond := cla.KeyTimeMs / millisPerSecond
	second, ok := sha.seconds[unixSecond]
	if ok {
		return second
	}
	if len(sha.seconds) == 0 {
		sha.oldestSecond = unixSecond
	}
	sha.oldestSecond = min(sha.oldestSecond, unixSecond)
	sha.seconds[unixSecond] = &keySecond{}
	return sha.seconds[unixSecond]
}

// remove removes the claim in a slot, if there is one.
func (sha *Shard) remove(slot string) {
	cla, ok := sha.claims[slot]
	if !ok {
		return
	}
	delete(sha.claims, slot)
	unixSecond := cla.KeyTimeMs / millisPerSecond
	second := sha.seconds[unixSecond]
	sha.addToTotals(second, cla, -1)
	if second.claims == 0 {
		delete(sha.seconds, unixSecond)
	}
}

// addToTotals adds a claim to the totals of a second and of the shard, or subtracts it
// if sign is -1.
func (sha *Shard) addToTotals(second *keySecond, cla *Claim, sign int) {
	size, bodySize := sign*cla.size(), sign*cla.bodySize()
	second.claims += sign
	second.bytes += size
	second.bodyBytes += bodySize
	sha.bytes += size
	sha.bodyBytes += bodySize
}

// shareOutcome replaces an outcome without a body by an equal one that other claims use,
// to save memory.
func (sha *Shard) shareOutcome(cla *Claim) {
	out := cla.Outcome
	if out == nil || len(out.GetBody()) > 0 {
		return
	}
	key := sharedOutcome{status: out.GetStatus(), contentType: out.GetContentType(), truncated: out.GetTruncated()}
	if old, ok := sha.sharedOutcomes[key]; ok {
		cla.Outcome = old
		return
	}
	if len(sha.sharedOutcomes) < maxSharedOutcomes {
		sha.sharedOutcomes[key] = out
	}
}

// dropUntil drops the claims with key times up to untilMs.
func (sha *Shard) dropUntil(untilMs int64) {
	if untilMs <= sha.forgottenMs {
		return
	}
	sha.forgottenMs = untilMs
	for _, unixSecond := range sha.secondsUntil(untilMs) {
		for _, slot := range sha.seconds[unixSecond].slots {
			if cla, ok := sha.claims[slot]; ok && cla.KeyTimeMs <= untilMs {
				sha.remove(slot)
			}
		}
	}
	sha.oldestSecond = untilMs / millisPerSecond
}

// dropBodies drops the bodies of outcomes with key times up to untilMs.
func (sha *Shard) dropBodies(untilMs int64) {
	if untilMs <= sha.bodilessMs {
		return
	}
	sha.bodilessMs = untilMs
	for _, unixSecond := range sha.secondsUntil(untilMs) {
		second := sha.seconds[unixSecond]
		if second.bodyBytes == 0 {
			continue
		}
		for _, slot := range second.slots {
			cla, ok := sha.claims[slot]
			if !ok || cla.KeyTimeMs > untilMs || len(cla.Outcome.GetBody()) == 0 {
				continue
			}
			sha.addToTotals(second, cla, -1)
			cla = cla.withoutBody()
			sha.shareOutcome(cla)
			sha.claims[slot] = cla
			sha.addToTotals(second, cla, 1)
		}
	}
}

// secondsUntil returns the seconds that have claims, up to the second of untilMs, in
// ascending order.
func (sha *Shard) secondsUntil(untilMs int64) []int64 {
	last := untilMs / millisPerSecond
	if len(sha.seconds) == 0 || sha.oldestSecond > last {
		return nil
	}
	var unixSeconds []int64
	for unixSecond := range maps.Keys(sha.seconds) {
		if unixSecond <= last {
			unixSeconds = append(unixSeconds, unixSecond)
		}
	}
	slices.Sort(unixSeconds)
	return unixSeconds
}
