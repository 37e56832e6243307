package journaler

import (
	"bytes"
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
	// MaxShardBytes bounds the encoded shard. It lies below the platform's
	// limit of a value.
	MaxShardBytes = 1_000_000
	// maxBodyShareBytes is the size of a shard above which recorded bodies are
	// dropped; dropping goes down to keptBodyShareBytes.
	maxBodyShareBytes  = MaxShardBytes * 3 / 4
	keptBodyShareBytes = MaxShardBytes / 2
	// finishBytes is the room that each claim keeps for its outcome without a body.
	finishBytes = 16
	// maxContentTypeBytes bounds the recorded content type.
	maxContentTypeBytes = 128
	claimOverheadBytes  = 32
)

// ClaimState says how far the call of a claim has come.
type ClaimState int32

// States of a claim. A released claim is kept beside the claims that follow it,
// so that a delayed commit of its nonce can't bring it back.
const (
	ClaimHeld ClaimState = iota
	ClaimFinished
	ClaimReleased
)

// Claim is one key in a shard. It is an immutable value.
type Claim struct {
	Key        string
	BodyDigest []byte
	Host       string
	Nonce      string
	KeyTimeMs  int64
	State      ClaimState
	Outcome    *messenger.Outcome
}

// size is an upper bound of the encoded claim, with the room for its outcome.
func (cla *Claim) size() int {
	return claimOverheadBytes + finishBytes + len(cla.Key) + len(cla.BodyDigest) + len(cla.Host) + len(packNonce(cla.Nonce)) +
		len(cla.Outcome.GetContentType()) + len(cla.Outcome.GetBody())
}

// slot is the place of the claim in the shard.
func (cla *Claim) slot() string {
	if cla.State == ClaimReleased {
		return releasedSlot(cla.Key, cla.Nonce)
	}
	return cla.Key
}

// releasedSlot joins key and nonce by a character that no key contains.
func releasedSlot(key, nonce string) string { return key + "\n" + nonce }

func (cla *Claim) withoutBody() *Claim {
	out := *cla
	out.Outcome = &messenger.Outcome{Status: cla.Outcome.GetStatus(), Truncated: true}
	return &out
}

// Shard is the state of a shard. It is an immutable value; its zero value is the
// shard of an empty log.
type Shard struct {
	claims map[string]*Claim
	// forgottenMs is the newest key time of a dropped claim. Keys up to it are
	// refused, so that a dropped claim can't be claimed again, whatever the
	// clocks of the writers show.
	forgottenMs int64
	bytes       int
}

// Len returns the number of claims kept.
func (sha Shard) Len() int { return len(sha.claims) }

// Bytes returns an upper bound of the encoded size.
func (sha Shard) Bytes() int { return sha.bytes }

// Claim returns the claim of a key.
func (sha Shard) Claim(key string) (Claim, bool) {
	cla, ok := sha.claims[key]
	if !ok {
		return Claim{}, false
	}
	return *cla, true
}

// Apply carries out changes in their order and returns the shard afterwards,
// a result for each change, and whether the shard must be written. Without a
// change to write, the shard is returned as it was.
func (sha Shard) Apply(coms []*messenger.ClaimCommit, now time.Time) (Shard, []*messenger.ClaimResult, bool) {
	out := Shard{claims: maps.Clone(sha.claims), forgottenMs: sha.forgottenMs, bytes: sha.bytes}
	if out.claims == nil {
		out.claims = map[string]*Claim{}
	}
	out.forget(now)
	ress := make([]*messenger.ClaimResult, 0, len(coms))
	cha := false
	for _, com := range coms {
		res, one := out.apply(com, now)
		ress = append(ress, res)
		cha = cha || one
	}
	if !cha {
		return sha, ress, false
	}
	return out, ress, true
}

// forget drops the claims past the retention.
func (sha *Shard) forget(now time.Time) {
	lim := now.Add(-Retention - MaxClockSkew).UnixMilli()
	for _, cla := range sha.claims {
		if cla.KeyTimeMs < lim {
			sha.remove(cla)
			sha.forgottenMs = max(sha.forgottenMs, cla.KeyTimeMs)
		}
	}
}

func (sha *Shard) put(cla *Claim) {
	if old, ok := sha.claims[cla.slot()]; ok {
		sha.bytes -= old.size()
	}
	sha.claims[cla.slot()] = cla
	sha.bytes += cla.size()
}

func (sha *Shard) remove(cla *Claim) {
	delete(sha.claims, cla.slot())
	sha.bytes -= cla.size()
}

func (sha *Shard) isReleased(com *messenger.ClaimCommit) bool {
	_, ok := sha.claims[releasedSlot(com.GetKey(), com.GetNonce())]
	return ok
}

func (sha *Shard) apply(com *messenger.ClaimCommit, now time.Time) (*messenger.ClaimResult, bool) {
	switch com.GetStep() {
	case messenger.ClaimCommit_STEP_FINISH:
		return sha.finish(com)
	case messenger.ClaimCommit_STEP_RELEASE:
		return sha.release(com)
	default:
		return sha.claim(com, now)
	}
}

func newClaim(com *messenger.ClaimCommit, sta ClaimState) *Claim {
	return &Claim{
		Key: com.GetKey(), BodyDigest: com.GetBodyDigest(), Host: com.GetHost(), Nonce: com.GetNonce(),
		KeyTimeMs: com.GetKeyTimeMs(), State: sta,
	}
}

func (sha *Shard) claim(com *messenger.ClaimCommit, now time.Time) (*messenger.ClaimResult, bool) {
	if sha.isReleased(com) {
		return result(messenger.ClaimResult_STATE_RELEASED), false
	}
	old, fou := sha.claims[com.GetKey()]
	if !fou {
		return sha.claimFree(com, now)
	}
	switch {
	case !bytes.Equal(old.BodyDigest, com.GetBodyDigest()):
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
func (sha *Shard) claimFree(com *messenger.ClaimCommit, now time.Time) (*messenger.ClaimResult, bool) {
	if com.GetKeyTimeMs() <= sha.forgottenMs || com.GetKeyTimeMs() < now.Add(-Retention).UnixMilli() {
		return result(messenger.ClaimResult_STATE_EXPIRED), false
	}
	cla := newClaim(com, ClaimHeld)
	if !sha.makeRoom(cla.size()) {
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_FULL, Message: "the shard of the key is full"}, false
	}
	sha.put(cla)
	return result(messenger.ClaimResult_STATE_COMMITTED), true
}

func (sha *Shard) finish(com *messenger.ClaimCommit) (*messenger.ClaimResult, bool) {
	old, fou := sha.claims[com.GetKey()]
	switch {
	case !fou:
		return result(messenger.ClaimResult_STATE_EXPIRED), false
	case old.Nonce != com.GetNonce():
		return result(messenger.ClaimResult_STATE_CONFLICT), false
	case old.State == ClaimFinished:
		return result(messenger.ClaimResult_STATE_FINISHED), false
	}
	cla := *old
	cla.State = ClaimFinished
	cla.Outcome = com.GetOutcome()
	if len(cla.Outcome.GetContentType()) > maxContentTypeBytes {
		cla.Outcome = cla.withoutBody().Outcome
	}
	add := len(cla.Outcome.GetBody()) + len(cla.Outcome.GetContentType())
	if sha.bytes+add > maxBodyShareBytes {
		sha.dropBodies()
	}
	if sha.bytes+add > maxBodyShareBytes {
		cla.Outcome = cla.withoutBody().Outcome
	}
	sha.put(&cla)
	return result(messenger.ClaimResult_STATE_FINISHED), true
}

// release gives a claim back. An absent claim is noted as released too, so that
// a delayed commit of it has no effect.
func (sha *Shard) release(com *messenger.ClaimCommit) (*messenger.ClaimResult, bool) {
	res := result(messenger.ClaimResult_STATE_RELEASED)
	old, fou := sha.claims[com.GetKey()]
	own := fou && old.Nonce == com.GetNonce()
	if sha.isReleased(com) || own && old.State == ClaimFinished {
		return res, false
	}
	if own {
		sha.remove(old)
	}
	cla := newClaim(com, ClaimReleased)
	if com.GetKeyTimeMs() <= sha.forgottenMs || !sha.makeRoom(cla.size()) {
		return res, own
	}
	sha.put(cla)
	return res, true
}

// makeRoom drops recorded bodies if that is needed to fit more bytes in, and
// reports whether they fit.
func (sha *Shard) makeRoom(more int) bool {
	if sha.bytes+more > MaxShardBytes {
		sha.dropBodies()
	}
	return sha.bytes+more <= MaxShardBytes
}

// dropBodies drops the bodies of the oldest recorded outcomes.
func (sha *Shard) dropBodies() {
	var with []*Claim
	for _, cla := range sha.claims {
		if len(cla.Outcome.GetBody()) > 0 {
			with = append(with, cla)
		}
	}
	slices.SortFunc(with, func(one, two *Claim) int { return int(one.KeyTimeMs - two.KeyTimeMs) })
	for _, cla := range with {
		if sha.bytes <= keptBodyShareBytes {
			return
		}
		sha.put(cla.withoutBody())
	}
}

func result(sta messenger.ClaimResult_State) *messenger.ClaimResult {
	return &messenger.ClaimResult{State: sta}
}
