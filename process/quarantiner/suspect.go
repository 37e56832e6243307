package quarantiner

import "time"

// Evidence is how strongly a crash speaks against the prompt of a send that it broke off.
type Evidence int

const (
	// WeakEvidence is that of a send that may only have been on the engine when another
	// prompt crashed it.
	WeakEvidence Evidence = 1
	// StrongEvidence is that of a send whose answer had begun without an event: the engine
	// crashed at the moment at which it began to answer this prompt.
	StrongEvidence Evidence = 2
)

const (
	// strongThreshold is the score from which a part is quarantined after a crash with
	// strong evidence, weakThreshold that after a crash with weak evidence.
	strongThreshold = 6
	weakThreshold   = 10
	// companionDivisor divides the threshold to give the score from which a part is
	// quarantined together with another part of the same prompt that has reached it.
	companionDivisor = 2
	// suspectLifetime is the time without further evidence after which a suspect is
	// forgotten.
	suspectLifetime = 2 * time.Minute
	// maxSuspects bounds the suspects that a host keeps.
	maxSuspects = 4096
)

// threshold returns the score from which a part is quarantined after a crash.
func (evi Evidence) threshold() int {
	if evi >= StrongEvidence {
		return strongThreshold
	}
	return weakThreshold
}

// partKey identifies a part of the prompts of a pool.
type partKey struct{ pool, part string }

// Suspect is a part of prompts on which engines may crash. It is an immutable value.
type Suspect struct {
	Pool string
	Part string
	// Epoch counts the times at which an answer to a prompt with the part has cleared it.
	Epoch uint64
	// Score is the evidence of crashes in this epoch, each of which followed a send at
	// which the evidence of the earlier ones was known. So a single incident that ends many
	// engines at once counts only once.
	Score int
}

// newer reports whether sus supersedes old.
func (sus Suspect) newer(old Suspect) bool {
	if sus.Epoch != old.Epoch {
		return sus.Epoch > old.Epoch
	}
	return sus.Score > old.Score
}

// WithCrash returns the suspect after a crash. seen is the suspect as known when the prompt
// was sent.
func (sus Suspect) WithCrash(seen Suspect, evi Evidence) Suspect {
	before := 0
	if seen.Epoch == sus.Epoch {
		before = seen.Score
	}
	sus.Score = max(sus.Score, before+int(evi))
	return sus
}

// WithAnswer returns the suspect after an answer to a prompt with the part.
func (sus Suspect) WithAnswer() Suspect {
	sus.Epoch++
	sus.Score = 0
	return sus
}
