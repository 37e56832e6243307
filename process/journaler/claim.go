package journaler

import "hemlockpin/connection/messenger"

const (
	// finishBytes is the room that each claim keeps for its outcome without a body.
	finishBytes = 16
	// maxContentTypeBytes bounds the recorded content type.
	maxContentTypeBytes = 128
	claimOverheadBytes  = 32
)

// ClaimState says how far the call of a claim has come.
type ClaimState uint8

// States of a claim. A released claim is kept beside the claims that follow it,
// so that a delayed commit of its nonce can't bring it back.
const (
	ClaimHeld ClaimState = iota
	ClaimFinished
	ClaimReleased
)

// Claim is one key in a shard. It is an immutable value but for its place in
// the store. A finished claim needs neither host nor nonce: nobody can claim,
// finish or release its key any more.
type Claim struct {
	Key        string
	BodyDigest string
	Host       string
	Nonce      string
	KeyTimeMs  int64
	Outcome    *messenger.Outcome
	State      ClaimState

	// segment is the newest segment that holds the claim as it is; 0 stands for
	// the entries after the segments.
	segment uint64
}

func newClaim(com *messenger.ClaimCommit, sta ClaimState) *Claim {
	return &Claim{
		Key: com.GetKey(), BodyDigest: string(com.GetBodyDigest()), Host: com.GetHost(), Nonce: com.GetNonce(),
		KeyTimeMs: com.GetKeyTimeMs(), State: sta,
	}
}

// size is an upper bound of the encoded claim, with the room for its outcome.
func (cla *Claim) size() int {
	return claimOverheadBytes + finishBytes + len(cla.Key) + len(cla.BodyDigest) + len(cla.Host) + len(packNonce(cla.Nonce)) +
		len(cla.Outcome.GetContentType()) + len(cla.Outcome.GetBody())
}

// answerSize is the part of the size that goes with the body of the outcome.
func (cla *Claim) answerSize() int {
	if len(cla.Outcome.GetBody()) == 0 {
		return 0
	}
	return len(cla.Outcome.GetContentType()) + len(cla.Outcome.GetBody())
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

// finished returns the claim with its outcome.
func (cla *Claim) finished(out *messenger.Outcome) *Claim {
	fin := &Claim{Key: cla.Key, BodyDigest: cla.BodyDigest, KeyTimeMs: cla.KeyTimeMs, State: ClaimFinished, Outcome: out}
	if len(out.GetContentType()) > maxContentTypeBytes {
		fin.Outcome = truncated(out)
	}
	return fin
}

// withoutBody returns the claim without the body of its outcome.
func (cla *Claim) withoutBody() *Claim {
	if len(cla.Outcome.GetBody()) == 0 {
		return cla
	}
	out := *cla
	out.Outcome = truncated(cla.Outcome)
	return &out
}

func truncated(out *messenger.Outcome) *messenger.Outcome {
	return &messenger.Outcome{Status: out.GetStatus(), Truncated: true}
}
