package journaler

import "hemlockpin/connection/messenger"

const (
	// finishReserveBytes is the space that each claim reserves for its outcome without a
	// body.
	finishReserveBytes = 16
	// maxContentTypeBytes bounds the recorded content type.
	maxContentTypeBytes = 128
	// claimOverheadBytes bounds the encoded size of the tags, lengths and numbers of a
	// claim.
	claimOverheadBytes = 32
)

// ClaimState is the state of a claim.
type ClaimState uint8

// States of a claim. A released claim is kept in addition to later claims of its key, so
// that a delayed commit with its nonce cannot claim the key again.
const (
	ClaimHeld ClaimState = iota
	ClaimFinished
	ClaimReleased
)

// Claim records which host runs the call with a key, or the outcome of the call. It is
// immutable apart from segment and, until the claim is in a shard, Outcome. A finished
// claim has neither host nor nonce, since its key cannot be claimed, finished or
// released any more.
type Claim struct {
	Key string
	// BodyDigest is the digest of the call's body; repeats must have the same digest.
	BodyDigest string
	Host       string
	// Nonce identifies the attempt to claim the key.
	Nonce string
	// KeyTimeMs is the time of the key, in Unix milliseconds.
	KeyTimeMs int64
	Outcome   *messenger.Outcome
	State     ClaimState

	// segment is the newest segment that contains the claim in its present state; 0
	// means that only entries after the newest segment contain it.
	segment uint64
}

func newClaim(com *messenger.ClaimCommit, sta ClaimState) *Claim {
	return &Claim{
		Key: com.GetKey(), BodyDigest: string(com.GetBodyDigest()), Host: com.GetHost(), Nonce: com.GetNonce(),
		KeyTimeMs: com.GetKeyTimeMs(), State: sta,
	}
}

// size returns an upper bound of the encoded size, including the space for the outcome.
func (cla *Claim) size() int {
	return claimOverheadBytes + finishReserveBytes + len(cla.Key) + len(cla.BodyDigest) + len(cla.Host) + len(packNonce(cla.Nonce)) +
		len(cla.Outcome.GetContentType()) + len(cla.Outcome.GetBody())
}

// bodySize returns the part of the size that is freed if the body of the outcome is
// dropped.
func (cla *Claim) bodySize() int {
	if len(cla.Outcome.GetBody()) == 0 {
		return 0
	}
	return len(cla.Outcome.GetContentType()) + len(cla.Outcome.GetBody())
}

// slot returns the index of the claim in Shard.claims: its key or, for a released
// claim, its key and nonce.
func (cla *Claim) slot() string {
	if cla.State == ClaimReleased {
		return releasedSlot(cla.Key, cla.Nonce)
	}
	return cla.Key
}

// releasedSlot joins key and nonce with a character that no key contains.
func releasedSlot(key, nonce string) string { return key + "\n" + nonce }

// finished returns the claim as finished with an outcome.
func (cla *Claim) finished(out *messenger.Outcome) *Claim {
	updated := &Claim{Key: cla.Key, BodyDigest: cla.BodyDigest, KeyTimeMs: cla.KeyTimeMs, State: ClaimFinished, Outcome: out}
	if len(out.GetContentType()) > maxContentTypeBytes {
		updated.Outcome = truncated(out)
	}
	return updated
}

// withoutBody returns the claim without the body of its outcome.
func (cla *Claim) withoutBody() *Claim {
	if len(cla.Outcome.GetBody()) == 0 {
		return cla
	}
	updated := *cla
	updated.Outcome = truncated(cla.Outcome)
	return &updated
}

// truncated returns an outcome with the status only.
func truncated(out *messenger.Outcome) *messenger.Outcome {
	return &messenger.Outcome{Status: out.GetStatus(), Truncated: true}
}
