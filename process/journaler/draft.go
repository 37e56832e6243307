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

func (ovl *overlay) put(cla *Claim) {
	ovl.remove(cla.slot())
	if cla.KeyTimeMs <= ovl.delta.bodilessMs {
		cla = cla.withoutBody()
	}
	ovl.delta.claims[cla.slot()] = cla
	ovl.bytes += cla.size()
	ovl.bodyBytes += cla.bodySize()
}

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

// dropExpired drops the claims older than Retention and MaxClockSkew, whole seconds at a
// time.
func (ovl *overlay) dropExpired(now time.Time) {
	limit := now.Add(-Retention - MaxClockSkew).UnixMilli()
	for _, unixSecond := range ovl.shard.secondsUntil(limit - millisPerSecond) {
		second := ovl.shard.seconds[unixSecond]
		ovl.delta.forgottenMs = max(ovl.delta.forgottenMs, second.newestMs)
		ovl.bytes -= second.bytes
		ovl.bodyBytes -= second.bodyBytes
	}
}

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

func (ovl *overlay) claim(com *messenger.ClaimCommit, now time.Time) (*messenger.ClaimResult, bool) {
	if ovl.isReleased(com) {
		return result(messenger.ClaimResult_STATE_RELEASED), false
	}
	old := ovl.claimAt(com.GetKey())
	switch {
	case old == nil:
		return ovl.claimFree(com, now)
	case old.BodyDigest != string(com.GetBodyDigest()):
		return result(messenger.ClaimResult_STATE_CONFLICT), false
	case old.KeyTimeMs != com.GetKeyTimeMs():
		// A repeat with another time could arrive after its claim was dropped and run
		// the call again, so it is refused even if the outcome is known.
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_HELD, Message: "the key was used with another time"}, false
	case old.State == ClaimFinished:
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_FINISHED, Outcome: old.Outcome}, false
	case old.Nonce == com.GetNonce():
		return result(messenger.ClaimResult_STATE_COMMITTED), false
	default:
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_HELD, Message: "host " + old.Host + " holds the claim"}, false
	}
}

// claimFree commits a claim of a key that is not claimed.
func (ovl *overlay) claimFree(com *messenger.ClaimCommit, now time.Time) (*messenger.ClaimResult, bool) {
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

// release releases a claim. It records an absent claim as released, too, so that a
// delayed commit of the claim has no effect.
func (ovl *overlay) release(com *messenger.ClaimCommit) (*messenger.ClaimResult, bool) {
	res := result(messenger.ClaimResult_STATE_RELEASED)
	old := ovl.claimAt(com.GetKey())
	if ovl.isReleased(com) || old != nil && old.State == ClaimFinished {
		return res, false
	}
	own := old != nil && old.Nonce == com.GetNonce()
	if own {
		ovl.remove(com.GetKey())
	}
	cla := newClaim(com, ClaimReleased)
	if com.GetKeyTimeMs() <= ovl.delta.forgottenMs || !ovl.makeRoom(cla.size()) {
		return res, own
	}
	ovl.put(cla)
	return res, true
}

// makeRoom drops recorded bodies if necessary to add a number of bytes, and reports
// whether they fit.
func (ovl *overlay) makeRoom(more int) bool {
	if ovl.bytes+more > MaxShardBytes {
		ovl.dropBodies()
	}
	return ovl.bytes+more <= MaxShardBytes
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
