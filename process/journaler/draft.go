package journaler

import (
	"math"
	"time"

	"hemlockpin/connection/messenger"
)

// draft is a change of a shard while a batch is decided on. It lies over the
// shard, which it does not touch.
type draft struct {
	shard *Shard
	delta Delta
	bytes int
	// answers is the part of bytes that goes with the bodies.
	answers int
}

func newDraft(sha *Shard, cou int) *draft {
	return &draft{
		shard: sha, bytes: sha.bytes, answers: sha.answers,
		delta: Delta{forgottenMs: sha.forgottenMs, bodilessMs: sha.bodilessMs, claims: make(map[string]*Claim, cou)},
	}
}

// at returns the claim of a slot, or nil.
func (dra *draft) at(slo string) *Claim {
	cla, ok := dra.delta.claims[slo]
	if !ok {
		cla = dra.shard.claims[slo]
	}
	switch {
	case cla == nil || cla.KeyTimeMs <= dra.delta.forgottenMs:
		return nil
	case cla.KeyTimeMs <= dra.delta.bodilessMs:
		return cla.withoutBody()
	default:
		return cla
	}
}

func (dra *draft) put(cla *Claim) {
	dra.remove(cla.slot())
	if cla.KeyTimeMs <= dra.delta.bodilessMs {
		cla = cla.withoutBody()
	}
	dra.delta.claims[cla.slot()] = cla
	dra.bytes += cla.size()
	dra.answers += cla.answerSize()
}

func (dra *draft) remove(slo string) {
	cla := dra.at(slo)
	if cla == nil {
		return
	}
	dra.delta.claims[slo] = nil
	dra.bytes -= cla.size()
	dra.answers -= cla.answerSize()
}

func (dra *draft) isReleased(com *messenger.ClaimCommit) bool {
	return dra.at(releasedSlot(com.GetKey(), com.GetNonce())) != nil
}

// forget drops the claims past the retention, whole seconds at a time.
func (dra *draft) forget(now time.Time) {
	lim := now.Add(-Retention - MaxClockSkew).UnixMilli()
	for _, sec := range dra.shard.agesUntil(lim - millisPerAge) {
		old := dra.shard.ages[sec]
		dra.delta.forgottenMs = max(dra.delta.forgottenMs, old.newestMs)
		dra.bytes -= old.bytes
		dra.answers -= old.answers
	}
}

func (dra *draft) apply(com *messenger.ClaimCommit, now time.Time) (*messenger.ClaimResult, bool) {
	switch com.GetStep() {
	case messenger.ClaimCommit_STEP_FINISH:
		return dra.finish(com)
	case messenger.ClaimCommit_STEP_RELEASE:
		return dra.release(com)
	default:
		return dra.claim(com, now)
	}
}

func (dra *draft) claim(com *messenger.ClaimCommit, now time.Time) (*messenger.ClaimResult, bool) {
	if dra.isReleased(com) {
		return result(messenger.ClaimResult_STATE_RELEASED), false
	}
	old := dra.at(com.GetKey())
	switch {
	case old == nil:
		return dra.claimFree(com, now)
	case old.BodyDigest != string(com.GetBodyDigest()):
		return result(messenger.ClaimResult_STATE_CONFLICT), false
	case old.KeyTimeMs != com.GetKeyTimeMs():
		// A repeat whose time moves could outlive the claim, so it is refused
		// even where the outcome is known.
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_HELD, Message: "the key was used with another time"}, false
	case old.State == ClaimFinished:
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_FINISHED, Outcome: old.Outcome}, false
	case old.Nonce == com.GetNonce():
		return result(messenger.ClaimResult_STATE_COMMITTED), false
	default:
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_HELD, Message: "host " + old.Host + " holds the claim"}, false
	}
}

// claimFree commits a claim on a key that nobody holds.
func (dra *draft) claimFree(com *messenger.ClaimCommit, now time.Time) (*messenger.ClaimResult, bool) {
	if com.GetKeyTimeMs() <= dra.delta.forgottenMs || com.GetKeyTimeMs() < now.Add(-Retention).UnixMilli() {
		return result(messenger.ClaimResult_STATE_EXPIRED), false
	}
	cla := newClaim(com, ClaimHeld)
	if !dra.makeRoom(cla.size()) {
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_FULL, Message: "the shard of the key is full"}, false
	}
	dra.put(cla)
	return result(messenger.ClaimResult_STATE_COMMITTED), true
}

func (dra *draft) finish(com *messenger.ClaimCommit) (*messenger.ClaimResult, bool) {
	old := dra.at(com.GetKey())
	switch {
	case old == nil:
		return result(messenger.ClaimResult_STATE_EXPIRED), false
	case old.State == ClaimFinished:
		return result(messenger.ClaimResult_STATE_FINISHED), false
	case old.Nonce != com.GetNonce():
		return result(messenger.ClaimResult_STATE_CONFLICT), false
	}
	cla := old.finished(com.GetOutcome())
	if dra.bytes+cla.answerSize() > maxBodyShareBytes {
		dra.dropBodies()
	}
	if dra.bytes+cla.answerSize() > maxBodyShareBytes {
		cla = cla.withoutBody()
	}
	dra.put(cla)
	return result(messenger.ClaimResult_STATE_FINISHED), true
}

// release gives a claim back. An absent claim is noted as released too, so that
// a delayed commit of it has no effect.
func (dra *draft) release(com *messenger.ClaimCommit) (*messenger.ClaimResult, bool) {
	res := result(messenger.ClaimResult_STATE_RELEASED)
	old := dra.at(com.GetKey())
	if dra.isReleased(com) || old != nil && old.State == ClaimFinished {
		return res, false
	}
	own := old != nil && old.Nonce == com.GetNonce()
	if own {
		dra.remove(com.GetKey())
	}
	cla := newClaim(com, ClaimReleased)
	if com.GetKeyTimeMs() <= dra.delta.forgottenMs || !dra.makeRoom(cla.size()) {
		return res, own
	}
	dra.put(cla)
	return res, true
}

// makeRoom drops recorded bodies if that is needed to fit more bytes in, and
// reports whether they fit.
func (dra *draft) makeRoom(more int) bool {
	if dra.bytes+more > MaxShardBytes {
		dra.dropBodies()
	}
	return dra.bytes+more <= MaxShardBytes
}

// dropBodies drops the bodies of the oldest recorded outcomes, whole seconds at
// a time.
func (dra *draft) dropBodies() {
	if dra.answers == 0 {
		return
	}
	for _, sec := range dra.shard.agesUntil(math.MaxInt64) {
		old := dra.shard.ages[sec]
		if dra.bytes <= keptBodyShareBytes {
			break
		}
		if old.answers == 0 || old.newestMs <= dra.delta.bodilessMs || old.newestMs <= dra.delta.forgottenMs {
			continue
		}
		dra.delta.bodilessMs = old.newestMs
		dra.bytes -= old.answers
		dra.answers -= old.answers
	}
	for slo, cla := range dra.delta.claims {
		if cla == nil || cla.KeyTimeMs > dra.delta.bodilessMs || len(cla.Outcome.GetBody()) == 0 {
			continue
		}
		dra.bytes -= cla.answerSize()
		dra.answers -= cla.answerSize()
		dra.delta.claims[slo] = cla.withoutBody()
	}
}

func result(sta messenger.ClaimResult_State) *messenger.ClaimResult {
	return &messenger.ClaimResult{State: sta}
}
