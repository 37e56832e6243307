package quarantiner

import (
	"slices"
	"time"

	"hemlockpin/connection/messenger"
)

// Message converts a change to the message for a peer.
func Message(cha Change, now time.Time) *messenger.QuarantinePush {
	pus := &messenger.QuarantinePush{}
	for _, sus := range cha.Suspects {
		pus.Suspects = append(pus.Suspects, &messenger.SuspectRecord{Pool: sus.Pool, Part: sus.Part, Epoch: sus.Epoch, Score: uint32(sus.Score)})
	}
	for _, qua := range cha.Quarantines {
		pus.Quarantines = append(pus.Quarantines, &messenger.QuarantineRecord{
			Pool: qua.Pool, Parts: qua.Parts, Generation: uint32(qua.Generation), Lifted: qua.Lifted, AgeMs: now.Sub(qua.Since).Milliseconds(),
		})
	}
	return pus
}

// FromMessage converts the message of a peer. It leaves out records that can't be used.
func FromMessage(pus *messenger.QuarantinePush, now time.Time) Change {
	var cha Change
	for _, rec := range pus.GetSuspects() {
		sus := Suspect{Pool: rec.GetPool(), Part: rec.GetPart(), Epoch: rec.GetEpoch(), Score: int(rec.GetScore())}
		if sus.usable() {
			cha.Suspects = append(cha.Suspects, sus)
		}
	}
	for _, rec := range pus.GetQuarantines() {
		qua := Quarantine{
			Pool: rec.GetPool(), Parts: slices.Sorted(slices.Values(rec.GetParts())), Generation: int(rec.GetGeneration()), Lifted: rec.GetLifted(),
			Since: now.Add(-messenger.Age(rec.GetAgeMs())),
		}
		if qua.Problem() == "" {
			cha.Quarantines = append(cha.Quarantines, qua)
		}
	}
	return cha
}
