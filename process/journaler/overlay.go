package journaler

import (
	"math"
	"time"

	"hemlockpin/connection/messenger"
)

// overlay collects the changes of a batch on top of a shard, which it leaves unchanged.
type overlay struct {
	shard *Shard
	delta Delta
	// bytes is an upper bound of the encoded size of the shard with the delta.
	bytes int
	// bodyBytes is the part of bytes that is freed if all bodies are dropped.
	bodyBytes int
}

func newOverlay(sha *Shard, n int) *overlay {
	return &overlay{
		shard: sha, bytes: sha.bytes, bodyBytes: sha.bodyBytes,
		delta: Delta{forgottenMs: sha.forgottenMs, bodilessMs: sha.bodilessMs, claims: make(map[string]*Claim, n)},
	}
}

// claimAt returns the claim in a slot, or nil.
func (ovl *overlay) claimAt(slot string) *Claim {
	cla, ok := ovl.delta.claims[slot]
	if !ok {
		cla = ovl.shard.claims[slot]
	}
	switch {
	case cla == nil || cla.KeyTimeMs <= ovl.delta.forgottenMs:
		return nil
	case cla.KeyTimeMs <= ovl.delta.bodilessMs:
		return cla.withoutBody()
	default:
		return cla
	}
}

// put stores a claim in its slot, in place of the present claim.
func (ovl *overlay) put(cla *Claim) {
	ovl.remove(cla.slot())
	if cla.KeyTimeMs <= ovl.delta.bodilessMs {
		cla = cla.withoutBody()
	}
	ovl.delta.claims[cla.slot()] = cla
	ovl.bytes += cla.size()
	ovl.bodyBytes += cla.bodySize()
}

// remove removes the claim in a slot, if there is one.
func (ovl *overlay) remove(slot string) {
	cla := ovl.claimAt(slot)
	if cla == nil {
		return
	}
	ovl.delta.claims[slot] = nil
	ovl.bytes -= cla.size()
	ovl.bodyBytes -= cla.bodySize()
}

func (ovl *overlay) isReleased(com *messenger.ClaimCommit) bool {
	return ovl.claimAt(releasedSlot(com.GetKey(), com.GetNonce())) != nil
}

// dropExpired drops the claims whose key times are older than Retention plus
// MaxClockSkew, a second's claims at a time.
func (ovl *overlay) dropExpired(now time.Time) {
	oldestMs := now.Add(-Retention - MaxClockSkew).UnixMilli()
	// The last second may contain claims that are not old enough.
	for _, unixSecond := range ovl.shard.secondsUntil(oldestMs - millisPerSecond) {
		second := ovl.shard.seconds[unixSecond]
		ovl.delta.forgottenMs = max(ovl.delta.forgottenMs, second.newestMs)
		ovl.bytes -= second.bytes
		ovl.bodyBytes -= second.bodyBytes
	}
}

// apply applies a change to the overlay and returns its result and whether the log must
// be written.
func (ovl *overlay) apply(com *messenger.ClaimCommit, now time.Time) (*messenger.ClaimResult, bool) {
	switch com.GetStep() {
	case messenger.ClaimCommit_STEP_FINISH:
		return ovl.finish(com)
	case messenger.ClaimCommit_STEP_RELEASE:
		return ovl.release(com)
	default:
		return ovl.claim(com, now)
	}
}

// claim applies a CLAIM and returns the same as apply.
func (ovl *overlay) claim(com *messenger.ClaimCommit, now time.Time) (*messenger.ClaimResult, bool) {
	if ovl.isReleased(com) {
		return result(messenger.ClaimResult_STATE_RELEASED), false
	}
	old := ovl.claimAt(com.GetKey())
	switch {
	case old == nil:
		return ovl.claimUnclaimed(com, now)
	case old.BodyDigest != string(com.GetBodyDigest()):
		return result(messenger.ClaimResult_STATE_CONFLICT), false
	case old.KeyTimeMs != com.GetKeyTimeMs():
		// A repeat with another key time could be accepted after the claim of the first
		// call was dropped, and run the call again, so it is refused even if the
		// outcome is known.
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_HELD, Message: "the key was used with another time"}, false
	case old.State == ClaimFinished:
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_FINISHED, Outcome: old.Outcome}, false
	case old.Nonce == com.GetNonce():
		return result(messenger.ClaimResult_STATE_COMMITTED), false
	default:
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_HELD, Message: "host " + old.Host + " holds the claim"}, false
	}
}

// claimUnclaimed claims an unclaimed key, unless the key time is too old or the shard
// is full.
func (ovl *overlay) claimUnclaimed(com *messenger.ClaimCommit, now time.Time) (*messenger.ClaimResult, bool) {
	if com.GetKeyTimeMs() <= ovl.delta.forgottenMs || com.GetKeyTimeMs() < now.Add(-Retention).UnixMilli() {
		return result(messenger.ClaimResult_STATE_EXPIRED), false
	}
	cla := newClaim(com, ClaimHeld)
	if !ovl.makeRoom(cla.size()) {
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_FULL, Message: "the shard of the key is full"}, false
	}
	ovl.put(cla)
	return result(messenger.ClaimResult_STATE_COMMITTED), true
}

// finish applies a FINISH and returns the same as apply.
func (ovl *overlay) finish(com *messenger.ClaimCommit) (*messenger.ClaimResult, bool) {
	old := ovl.claimAt(com.GetKey())
	switch {
	case old == nil:
		return result(messenger.ClaimResult_STATE_EXPIRED), false
	case old.State == ClaimFinished:
		return result(messenger.ClaimResult_STATE_FINISHED), false
	case old.Nonce != com.GetNonce():
		return result(messenger.ClaimResult_STATE_CONFLICT), false
	}
	cla := old.finished(com.GetOutcome())
	if ovl.bytes+cla.bodySize() > maxBytesWithBodies {
		ovl.dropBodies()
	}
	if ovl.bytes+cla.bodySize() > maxBytesWithBodies {
		cla = cla.withoutBody()
	}
	ovl.put(cla)
	return result(messenger.ClaimResult_STATE_FINISHED), true
}

// release applies a RELEASE and returns the same as apply. A claim that was not
// committed is recorded as released, too, so that a delayed commit of the claim has no
// effect.
func (ovl *overlay) release(com *messenger.ClaimCommit) (*messenger.ClaimResult, bool) {
	res := result(messenger.ClaimResult_STATE_RELEASED)
	old := ovl.claimAt(com.GetKey())
	if ovl.isReleased(com) || old != nil && old.State == ClaimFinished {
		return res, false
	}
	held := old != nil && old.Nonce == com.GetNonce()
	if held {
		ovl.remove(com.GetKey())
	}
	cla := newClaim(com, ClaimReleased)
	if com.GetKeyTimeMs() <= ovl.delta.forgottenMs || !ovl.makeRoom(cla.size()) {
		return res, held
	}
	ovl.put(cla)
	return res, true
}

// makeRoom drops recorded bodies if a claim of a size would not fit otherwise, and
// reports whether it fits.
func (ovl *overlay) makeRoom(size int) bool {
	if ovl.bytes+size > MaxShardBytes {
		ovl.dropBodies()
	}
	return ovl.bytes+size <= MaxShardBytes
}

// dropBodies drops the bodies of the oldest recorded outcomes, whole seconds at a time,
// until the size is at most keptBytesWithBodies.
func (ovl *overlay) dropBodies() {
	if ovl.bodyBytes == 0 {
		return
	}
	for _, unixSecond := range ovl.shard.secondsUntil(math.MaxInt64) {
		second := ovl.shard.seconds[unixSecond]
		if ovl.bytes <= keptBytesWithBodies {
			break
		}
		if second.bodyBytes == 0 || second.newestMs <= ovl.delta.bodilessMs || second.newestMs <= ovl.delta.forgottenMs {
			continue
		}
		ovl.delta.bodilessMs = second.newestMs
		ovl.bytes -= second.bodyBytes
		ovl.bodyBytes -= second.bodyBytes
	}
	// Claims of this batch are not in the shard's seconds.
	for slot, cla := range ovl.delta.claims {
		if cla == nil || cla.KeyTimeMs > ovl.delta.bodilessMs || len(cla.Outcome.GetBody()) == 0 {
			continue
		}
		ovl.bytes -= cla.bodySize()
		ovl.bodyBytes -= cla.bodySize()
		ovl.delta.claims[slot] = cla.withoutBody()
	}
}

func result(sta messenger.ClaimResult_State) *messenger.ClaimResult {
	return &messenger.ClaimResult{State: sta}
}
