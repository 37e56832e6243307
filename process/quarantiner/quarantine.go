package quarantiner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Lifetime is how long a quarantine lasts. Engines with a new version may cope with its
// parts; if they don't, a few crashes renew it.
const Lifetime = 10 * time.Minute

// Quarantine names the parts of prompts that together crash the engines of a pool. It is an
// immutable value.
type Quarantine struct {
	Pool string
	// Parts are sorted. Prompts that lack one of them are not affected.
	Parts []string
	// Generation counts the quarantines of the same parts. Lifted reports that an engine
	// has answered a prompt with all these parts.
	Generation int
	Lifted     bool
	// Since is when the quarantine began, by this host's clock.
	Since time.Time
}

// Name identifies the quarantine, its generation and whether it is lifted.
func (qua Quarantine) Name() string {
	name := fmt.Sprintf("%s-%d", qua.key(), qua.Generation)
	if qua.Lifted {
		name += "-lifted"
	}
	return name
}

// key identifies the quarantines of the same parts.
func (qua Quarantine) key() string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(qua.Pool+"\n"+strings.Join(qua.Parts, "\n")))
}

// WithLift returns the quarantine after it was lifted.
func (qua Quarantine) WithLift() Quarantine {
	qua.Lifted = true
	return qua
}

// newer reports whether qua supersedes old.
func (qua Quarantine) newer(old Quarantine) bool {
	if qua.Generation != old.Generation {
		return qua.Generation > old.Generation
	}
	return qua.Lifted && !old.Lifted
}

// left returns how long the quarantine still lasts.
func (qua Quarantine) left(now time.Time) time.Duration {
	return max(0, Lifetime-now.Sub(qua.Since))
}

// applies reports whether the quarantine is in force for a prompt with the given parts.
func (qua Quarantine) applies(pool string, parts []string, now time.Time) bool {
	return !qua.Lifted && qua.Pool == pool && qua.left(now) > 0 && qua.within(parts)
}

// within reports whether a prompt contains all parts of the quarantine.
func (qua Quarantine) within(parts []string) bool {
	return !slices.ContainsFunc(qua.Parts, func(part string) bool { return !slices.Contains(parts, part) })
}

const (
	// maxGeneration, maxScore and maxEpoch bound the counts that others report, since later
	// ones have to be greater.
	maxGeneration = 1 << 30
	maxScore      = 1 << 10
	maxEpoch      = 1 << 62
	// maxRecordBytes bounds the texts of a record, since each is sent to all peers.
	maxRecordBytes = 64 << 10
)

// Problem returns why a quarantine of the store or of a peer can't be used, or an empty
// string if it can. One without parts would apply to all prompts.
func (qua Quarantine) Problem() string {
	size := len(qua.Pool)
	for _, part := range qua.Parts {
		size += len(part)
	}
	switch {
	case len(qua.Parts) == 0, slices.Contains(qua.Parts, ""):
		return "it names no parts"
	case size > maxRecordBytes:
		return "it is too large"
	case qua.Generation < 1, qua.Generation > maxGeneration:
		return fmt.Sprintf("generation %d is out of range", qua.Generation)
	}
	return ""
}

// usable reports whether a suspect of a peer can be used.
func (sus Suspect) usable() bool {
	return sus.Part != "" && len(sus.Pool)+len(sus.Part) <= maxRecordBytes && sus.Epoch <= maxEpoch && sus.Score >= 0 && sus.Score <= maxScore
}
