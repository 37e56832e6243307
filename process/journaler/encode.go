package journaler

import (
	"hemlockpin/connection/messenger"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// base is a shard as it was after an entry of its log.
type base struct {
	seq   uint64
	shard Shard
}

func (bas base) encode() ([]byte, error) {
	rec := &BaseRecord{Seq: bas.seq, Shard: &ShardRecord{ForgottenMs: bas.shard.forgottenMs, Claims: make([]*ClaimRecord, 0, len(bas.shard.claims))}}
	for _, cla := range bas.shard.claims {
		rec.Shard.Claims = append(rec.Shard.Claims, cla.record())
	}
	val, err := proto.Marshal(rec)
	return val, eris.Wrap(err, "base.encode")
}

func decodeBase(val []byte) (base, error) {
	var rec BaseRecord
	if err := proto.Unmarshal(val, &rec); err != nil {
		return base{}, eris.Wrap(err, "decodeBase")
	}
	bas := base{seq: rec.GetSeq(), shard: Shard{claims: make(map[string]*Claim, len(rec.GetShard().GetClaims()))}}
	entry{change: rec.GetShard()}.apply(&bas.shard)
	return bas, nil
}

// entry is the change of a shard by one commit.
type entry struct {
	seq     uint64
	change  *ShardRecord
	removed []string
}

// newEntry returns the change that leads from one shard to another.
func newEntry(seq uint64, old, nex Shard) entry {
	ent := entry{seq: seq, change: &ShardRecord{ForgottenMs: nex.forgottenMs}}
	for slo, cla := range nex.claims {
		if old.claims[slo] != cla {
			ent.change.Claims = append(ent.change.Claims, cla.record())
		}
	}
	for slo, cla := range old.claims {
		if _, ok := nex.claims[slo]; !ok && cla.KeyTimeMs > nex.forgottenMs {
			ent.removed = append(ent.removed, slo)
		}
	}
	return ent
}

// apply carries the change out on a shard that nobody else uses.
func (ent entry) apply(sha *Shard) {
	if ent.change.GetForgottenMs() > sha.forgottenMs {
		sha.forgottenMs = ent.change.GetForgottenMs()
		for _, cla := range sha.claims {
			if cla.KeyTimeMs <= sha.forgottenMs {
				sha.remove(cla)
			}
		}
	}
	for _, slo := range ent.removed {
		if cla, ok := sha.claims[slo]; ok {
			sha.remove(cla)
		}
	}
	for _, rec := range ent.change.GetClaims() {
		sha.put(rec.claim())
	}
}

func (ent entry) encode() ([]byte, error) {
	val, err := proto.Marshal(&EntryRecord{Seq: ent.seq, Change: ent.change, Removed: ent.removed})
	return val, eris.Wrap(err, "entry.encode")
}

func decodeEntry(val []byte) (entry, error) {
	var rec EntryRecord
	if err := proto.Unmarshal(val, &rec); err != nil {
		return entry{}, eris.Wrap(err, "decodeEntry")
	}
	return entry{seq: rec.GetSeq(), change: rec.GetChange(), removed: rec.GetRemoved()}, nil
}

func (cla *Claim) record() *ClaimRecord {
	return &ClaimRecord{
		Key: cla.Key, BodyDigest: cla.BodyDigest, Host: cla.Host, Nonce: packNonce(cla.Nonce), KeyTimeMs: cla.KeyTimeMs,
		State: int32(cla.State), Status: cla.Outcome.GetStatus(), ContentType: cla.Outcome.GetContentType(),
		Body: cla.Outcome.GetBody(), Truncated: cla.Outcome.GetTruncated(),
	}
}

func (rec *ClaimRecord) claim() *Claim {
	cla := &Claim{
		Key: rec.GetKey(), BodyDigest: rec.GetBodyDigest(), Host: rec.GetHost(), Nonce: unpackNonce(rec.GetNonce()),
		KeyTimeMs: rec.GetKeyTimeMs(), State: ClaimState(rec.GetState()),
	}
	if cla.State == ClaimFinished {
		cla.Outcome = &messenger.Outcome{Status: rec.GetStatus(), ContentType: rec.GetContentType(), Body: rec.GetBody(), Truncated: rec.GetTruncated()}
	}
	return cla
}

// packNonce keeps a UUID in its binary form.
func packNonce(non string) []byte {
	if uid, err := uuid.Parse(non); err == nil && uid.String() == non {
		return uid[:]
	}
	return []byte(non)
}

func unpackNonce(raw []byte) string {
	if len(raw) != len(uuid.UUID{}) {
		return string(raw)
	}
	return uuid.UUID(raw).String()
}
