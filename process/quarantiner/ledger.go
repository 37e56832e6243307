// Package quarantiner learns on which parts of prompts engines crash, and keeps prompts
// with these parts from further engines.
//
// Each send is a trial of the parts of its prompt. A crash counts against all parts of the
// prompts that it broke off; an answer clears the parts of its prompt. Parts with enough
// evidence that occur in one prompt are quarantined together, so that prompts with only
// some of them are still served. Hosts exchange suspects and quarantines, and merge them
// without regard to their order.
package quarantiner

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
)

const (
	// maxQuarantines bounds the quarantines that a host keeps.
	maxQuarantines = 512
	// removalMemory is how long a host remembers that it has removed a quarantine from the store,
	// which may come back from a copy that is seconds old and still has it.
	removalMemory = time.Minute
)

// Change holds suspects and quarantines that have changed.
type Change struct {
	Suspects    []Suspect
	Quarantines []Quarantine
}

// Empty reports whether nothing has changed.
func (cha Change) Empty() bool { return len(cha.Suspects) == 0 && len(cha.Quarantines) == 0 }

// Trial is one send of a prompt, with what was known of the prompt's parts at that moment.
// It is an immutable value.
type Trial struct {
	pool  string
	parts []string
	seen  []Suspect
}

// Ledger holds what a host knows of the parts of prompts. Its zero value is ready to use.
type Ledger struct {
	// OnChange receives what this host has learned itself; nil for none.
	OnChange func(cha Change)
	Log      zerolog.Logger

	mu          sync.Mutex
	suspects    map[partKey]suspectRecord
	quarantines map[string]Quarantine
	// stored holds the names of the quarantines that the store has, with the store's era in which
	// it had them last. removed holds those that were removed from it lately.
	stored  map[string]uint64
	removed map[string]removal
}

// removal is when a quarantine was removed from the store, and the store's era then.
type removal struct {
	at  time.Time
	era uint64
}

// suspectRecord is a suspect with the time of its last change.
type suspectRecord struct {
	Suspect
	at time.Time
}

// TimeLeft returns how long the quarantine of a prompt still lasts; 0 if none applies to it.
func (led *Ledger) TimeLeft(pool string, parts []string, now time.Time) time.Duration {
	led.mu.Lock()
	defer led.mu.Unlock()
	var left time.Duration
	for _, qua := range led.quarantines {
		if qua.applies(pool, parts, now) {
			left = max(left, qua.left(now))
		}
	}
	return left
}

// NewTrial returns the trial of a prompt that is sent now.
func (led *Ledger) NewTrial(pool string, parts []string) Trial {
	led.mu.Lock()
	defer led.mu.Unlock()
	tri := Trial{pool: pool, parts: parts}
	for _, part := range parts {
		tri.seen = append(tri.seen, led.suspect(pool, part))
	}
	return tri
}

func (led *Ledger) suspect(pool, part string) Suspect {
	sus := led.suspects[partKey{pool, part}].Suspect
	sus.Pool, sus.Part = pool, part
	return sus
}

// Crashed records that the engine of a trial has crashed.
func (led *Ledger) Crashed(tri Trial, evi Evidence, now time.Time) {
	cha := led.crashed(tri, evi, now)
	led.report(cha)
}

func (led *Ledger) crashed(tri Trial, evi Evidence, now time.Time) Change {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.expire(now)
	for _, qua := range led.quarantines {
		if qua.applies(tri.pool, tri.parts, now) {
			// The crash is explained by what is known already.
			return Change{}
		}
	}
	var cha Change
	suspects := make([]Suspect, 0, len(tri.parts))
	for i, part := range tri.parts {
		old := led.suspect(tri.pool, part)
		sus := old.WithCrash(tri.seen[i], evi)
		if sus.newer(old) && led.put(sus, now) {
			cha.Suspects = append(cha.Suspects, sus)
		}
		suspects = append(suspects, sus)
		led.Log.Warn().Str("Pool", tri.pool).Str("Part", part).Int("Score", sus.Score).Int("Evidence", int(evi)).Uint64("Epoch", sus.Epoch).
			Msg("engine crashed on a prompt; the part is suspected")
	}
	if guilty := guiltyParts(suspects, evi); len(guilty) > 0 {
		cha.Quarantines = led.quarantine(tri.pool, guilty, now)
	}
	return cha
}

// guiltyParts returns which of a prompt's parts to quarantine together after a crash; nil for
// none. If engines crash on the parts b and c, and all prompts share a, then a has the evidence
// of both. It is not quarantined without b or c, which would refuse all sound prompts: parts of
// the same prompt with half of the threshold are included. A part with less that was never
// answered is doubtful: it may be the one that crashes engines, so it takes one more crash.
func guiltyParts(suspects []Suspect, evi Evidence) []string {
	var guilty []string
	highest, doubtful := 0, false
	for _, sus := range suspects {
		highest = max(highest, sus.Score)
		if sus.Score >= evi.threshold()/companionDivisor {
			guilty = append(guilty, sus.Part)
		} else if sus.Epoch == 0 {
			doubtful = true
		}
	}
	if highest < evi.threshold() || doubtful && highest < evi.threshold()+int(evi) {
		return nil
	}
	return guilty
}

// quarantine adds a quarantine, or renews one that was lifted or has ended.
func (led *Ledger) quarantine(pool string, parts []string, now time.Time) []Quarantine {
	slices.Sort(parts)
	qua := Quarantine{Pool: pool, Parts: slices.Compact(parts), Since: now}
	qua.Generation = led.quarantines[qua.key()].Generation + 1
	if !led.putQuarantine(qua) {
		return nil
	}
	led.Log.Warn().Str("Pool", pool).Strs("Parts", qua.Parts).Int("Generation", qua.Generation).Dur("LifetimeMs", Lifetime).
		Msg("engines crash on these parts of prompts; calls with all of them are refused")
	return []Quarantine{qua}
}

// Answered records that the engine of a trial has begun to answer and has not crashed.
func (led *Ledger) Answered(tri Trial, now time.Time) {
	led.report(led.answered(tri, now))
}

func (led *Ledger) answered(tri Trial, now time.Time) Change {
	led.mu.Lock()
	defer led.mu.Unlock()
	var cha Change
	for _, part := range tri.parts {
		if old := led.suspect(tri.pool, part); old.Score > 0 {
			sus := old.WithAnswer()
			led.put(sus, now)
			cha.Suspects = append(cha.Suspects, sus)
		}
	}
	for _, qua := range led.quarantines {
		if qua.applies(tri.pool, tri.parts, now) {
			lifted := qua.WithLift()
			led.putQuarantine(lifted)
			cha.Quarantines = append(cha.Quarantines, lifted)
			led.Log.Warn().Str("Pool", qua.Pool).Strs("Parts", qua.Parts).Dur("AgeMs", now.Sub(qua.Since)).Msg("an engine answered a prompt with these parts; their quarantine is lifted")
		}
	}
	return cha
}

func (led *Ledger) report(cha Change) {
	if led.OnChange != nil && !cha.Empty() {
		led.OnChange(cha)
	}
}

// Merge merges what another host or the store knows, and returns what was new.
func (led *Ledger) Merge(cha Change, now time.Time) Change {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.expire(now)
	var updates Change
	for _, sus := range cha.Suspects {
		if sus.newer(led.suspect(sus.Pool, sus.Part)) && led.put(sus, now) {
			updates.Suspects = append(updates.Suspects, sus)
		}
	}
	for _, qua := range cha.Quarantines {
		old, known := led.quarantines[qua.key()]
		if known && !qua.newer(old) || qua.left(now) <= 0 || !led.putQuarantine(qua) {
			continue
		}
		updates.Quarantines = append(updates.Quarantines, qua)
		led.Log.Warn().Str("Pool", qua.Pool).Strs("Parts", qua.Parts).Int("Generation", qua.Generation).Bool("Lifted", qua.Lifted).Dur("AgeMs", now.Sub(qua.Since)).
			Msg("learned of a quarantine of parts of prompts")
	}
	return updates
}

// put stores a suspect. It returns false if there is no room for another one.
func (led *Ledger) put(sus Suspect, now time.Time) bool {
	if led.suspects == nil {
		led.suspects = map[partKey]suspectRecord{}
	}
	key := partKey{sus.Pool, sus.Part}
	if _, known := led.suspects[key]; !known && len(led.suspects) >= maxSuspects {
		return false
	}
	led.suspects[key] = suspectRecord{sus, now}
	return true
}

// putQuarantine stores a quarantine. It returns false if there is no room for another one.
func (led *Ledger) putQuarantine(qua Quarantine) bool {
	if led.quarantines == nil {
		led.quarantines = map[string]Quarantine{}
	}
	key := qua.key()
	if _, known := led.quarantines[key]; !known && len(led.quarantines) >= maxQuarantines {
		return false
	}
	led.quarantines[key] = qua
	return true
}

// expire forgets suspects without recent evidence and quarantines that have ended.
func (led *Ledger) expire(now time.Time) {
	for key, rec := range led.suspects {
		if now.Sub(rec.at) > suspectLifetime {
			delete(led.suspects, key)
		}
	}
	for key, qua := range led.quarantines {
		if qua.left(now) <= 0 {
			delete(led.quarantines, key)
		}
	}
}

// Everything returns all suspects and quarantines.
func (led *Ledger) Everything(now time.Time) Change {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.expire(now)
	var cha Change
	for _, rec := range led.suspects {
		cha.Suspects = append(cha.Suspects, rec.Suspect)
	}
	for _, qua := range led.quarantines {
		cha.Quarantines = append(cha.Quarantines, qua)
	}
	return cha
}

// Digest returns a digest of the quarantines, by which hosts notice that they know different
// ones; 0 for none.
func (led *Ledger) Digest(now time.Time) uint64 {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.expire(now)
	var digest uint64
	for _, qua := range led.quarantines {
		digest ^= xxhash.Sum64String(qua.Name())
	}
	return digest
}

// Unstored returns the quarantines that the store is not known to hold in an era.
func (led *Ledger) Unstored(era uint64, now time.Time) []Quarantine {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.expire(now)
	var out []Quarantine
	for _, qua := range led.quarantines {
		if last, ok := led.stored[qua.Name()]; !ok || last < era {
			out = append(out, qua)
		}
	}
	return out
}

// MarkStored records that the store holds a quarantine in an era.
func (led *Ledger) MarkStored(name string, era uint64) {
	led.mu.Lock()
	defer led.mu.Unlock()
	if led.stored == nil {
		led.stored = map[string]uint64{}
	}
	led.stored[name] = max(led.stored[name], era)
}

// EndedInStore returns the names of the quarantines that have ended and that the store may
// still hold in an era, and forgets them.
func (led *Ledger) EndedInStore(era uint64, now time.Time) []string {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.expire(now)
	current := map[string]bool{}
	for _, qua := range led.quarantines {
		current[qua.Name()] = true
	}
	if led.removed == nil {
		led.removed = map[string]removal{}
	}
	var out []string
	for name := range led.stored {
		if !current[name] {
			out = append(out, name)
			delete(led.stored, name)
		}
	}
	for name, rem := range led.removed {
		switch {
		case now.Sub(rem.at) > removalMemory:
			delete(led.removed, name)
		case rem.era < era && !current[name] && !slices.Contains(out, name):
			out = append(out, name)
		}
	}
	for _, name := range out {
		led.removed[name] = removal{now, era}
	}
	return out
}
