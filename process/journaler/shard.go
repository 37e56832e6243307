package journaler

import (
	"maps"
	"slices"
	"time"

	"hemlockpin/connection/messenger"
)

const (
	// Retention is how long a claim answers repeats, counted from the time of
	// its key.
	Retention = 10 * time.Minute
	// MaxClockSkew is the difference of clocks up to which no key is refused
	// wrongly. At most one run does not depend on it.
	MaxClockSkew = time.Minute
	// MaxShardBytes bounds the encoded claims of a shard, and so the memory of
	// its writer.
	MaxShardBytes = 9_000_000
	// maxBodyShareBytes is the size of a shard above which recorded bodies are
	// dropped; dropping goes down to keptBodyShareBytes.
	maxBodyShareBytes  = MaxShardBytes * 8 / 9
	keptBodyShareBytes = MaxShardBytes * 5 / 6
	// maxSharedOutcomes bounds the outcomes without body that claims share.
	maxSharedOutcomes = 256

	millisPerAge = 1000
)

// Shard holds the claims of a shard for its writer. Its zero value is the shard
// of an empty log. Evaluate reads it; only take changes it, by a Delta that is in
// the log.
type Shard struct {
	claims map[string]*Claim
	// ages holds the claims by the second of their key time, so that dropping
	// the old ones costs what is dropped.
	ages map[int64]*age
	// oldest is not above any second of ages.
	oldest int64
	// forgottenMs is the newest key time of a dropped claim. Keys up to it are
	// refused, so that a dropped claim can't be claimed again, whatever the
	// clocks of the writers show.
	forgottenMs int64
	// bodilessMs is the newest key time whose outcomes have lost their bodies.
	bodilessMs int64
	bytes      int
	answers    int
	outcomes   map[sharedOutcome]*messenger.Outcome
}

// age is the claims whose key times lie in one second.
type age struct {
	// slots may name claims that were removed since.
	slots    []string
	newestMs int64
	bytes    int
	// answers is the part of bytes that goes with the bodies.
	answers int
	claims  int
}

// sharedOutcome is an outcome without body.
type sharedOutcome struct {
	status      int32
	contentType string
	truncated   bool
}

// Delta is a change of a shard, as one commit or one segment makes it. Claims
// up to its marks are dropped, or lose their bodies; a slot without a claim is
// removed.
type Delta struct {
	forgottenMs int64
	bodilessMs  int64
	claims      map[string]*Claim
}

// Len returns the number of claims kept.
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

// Evaluate carries out changes in their order and returns how they change the
// shard, a result for each, and whether the shard must be written. The shard
// stays as it is. The cost follows the changes, not the shard.
func (sha *Shard) Evaluate(coms []*messenger.ClaimCommit, now time.Time) (Delta, []*messenger.ClaimResult, bool) {
	dra := newDraft(sha, len(coms))
	dra.forget(now)
	ress := make([]*messenger.ClaimResult, 0, len(coms))
	cha := false
	for _, com := range coms {
		res, one := dra.apply(com, now)
		ress = append(ress, res)
		cha = cha || one
	}
	return dra.delta, ress, cha
}

// take carries a change out.
func (sha *Shard) take(del Delta) {
	if sha.claims == nil {
		sha.claims, sha.ages = map[string]*Claim{}, map[int64]*age{}
		sha.outcomes = map[sharedOutcome]*messenger.Outcome{}
	}
	sha.forget(del.forgottenMs)
	sha.dropBodies(del.bodilessMs)
	for slo, cla := range del.claims {
		if cla == nil {
			sha.remove(slo)
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
	slo := cla.slot()
	old := sha.ageOf(cla)
	if was, ok := sha.claims[slo]; ok && was.KeyTimeMs == cla.KeyTimeMs {
		sha.count(old, was, -1)
	} else {
		sha.remove(slo)
		old = sha.ageOf(cla)
		old.slots = append(old.slots, slo)
	}
	sha.claims[slo] = cla
	old.newestMs = max(old.newestMs, cla.KeyTimeMs)
	sha.count(old, cla, 1)
}

func (sha *Shard) ageOf(cla *Claim) *age {
	sec := cla.KeyTimeMs / millisPerAge
	old, ok := sha.ages[sec]
	if ok {
		return old
	}
	if len(sha.ages) == 0 {
		sha.oldest = sec
	}
	sha.oldest = min(sha.oldest, sec)
	sha.ages[sec] = &age{}
	return sha.ages[sec]
}

// remove takes the claim of a slot away, if there is one.
func (sha *Shard) remove(slo string) {
	cla, ok := sha.claims[slo]
	if !ok {
		return
	}
	delete(sha.claims, slo)
	sec := cla.KeyTimeMs / millisPerAge
	old := sha.ages[sec]
	sha.count(old, cla, -1)
	if old.claims == 0 {
		delete(sha.ages, sec)
	}
}

// count adds a claim to the sums of an age and the shard, or takes it away.
func (sha *Shard) count(old *age, cla *Claim, sign int) {
	size, ans := sign*cla.size(), sign*cla.answerSize()
	old.claims += sign
	old.bytes += size
	old.answers += ans
	sha.bytes += size
	sha.answers += ans
}

// shareOutcome replaces an outcome without body by an equal one.
func (sha *Shard) shareOutcome(cla *Claim) {
	out := cla.Outcome
	if out == nil || len(out.GetBody()) > 0 {
		return
	}
	key := sharedOutcome{status: out.GetStatus(), contentType: out.GetContentType(), truncated: out.GetTruncated()}
	if old, ok := sha.outcomes[key]; ok {
		cla.Outcome = old
		return
	}
	if len(sha.outcomes) < maxSharedOutcomes {
		sha.outcomes[key] = out
	}
}

// forget drops the claims up to a key time.
func (sha *Shard) forget(untilMs int64) {
	if untilMs <= sha.forgottenMs {
		return
	}
	sha.forgottenMs = untilMs
	for _, sec := range sha.agesUntil(untilMs) {
		for _, slo := range sha.ages[sec].slots {
			if cla, ok := sha.claims[slo]; ok && cla.KeyTimeMs <= untilMs {
				sha.remove(slo)
			}
		}
	}
	sha.oldest = untilMs / millisPerAge
}

// dropBodies drops the bodies of outcomes up to a key time.
func (sha *Shard) dropBodies(untilMs int64) {
	if untilMs <= sha.bodilessMs {
		return
	}
	sha.bodilessMs = untilMs
	for _, sec := range sha.agesUntil(untilMs) {
		old := sha.ages[sec]
		if old.answers == 0 {
			continue
		}
		for _, slo := range old.slots {
			cla, ok := sha.claims[slo]
			if !ok || cla.KeyTimeMs > untilMs || len(cla.Outcome.GetBody()) == 0 {
				continue
			}
			sha.count(old, cla, -1)
			cla = cla.withoutBody()
			sha.shareOutcome(cla)
			sha.claims[slo] = cla
			sha.count(old, cla, 1)
		}
	}
}

// agesUntil returns the seconds of claims up to that of a key time, oldest first.
func (sha *Shard) agesUntil(untilMs int64) []int64 {
	las := untilMs / millisPerAge
	if len(sha.ages) == 0 || sha.oldest > las {
		return nil
	}
	var secs []int64
	for sec := range maps.Keys(sha.ages) {
		if sec <= las {
			secs = append(secs, sec)
		}
	}
	slices.Sort(secs)
	return secs
}
