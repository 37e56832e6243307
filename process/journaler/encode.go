package journaler

import (
	"hemlockpin/connection/messenger"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// format is the format number in the head. Format 1 was one base object with all claims.
const format = 2

var errFormat = eris.New("journaler: the store holds claims in another format; end the hosts that write it and wait until its claims are past the retention, then remove its objects")

// entry is an entry of a shard's log: the delta of one batch.
type entry struct {
	seq   uint64
	delta Delta
}

func (ent entry) encode() ([]byte, error) {
	change, removed := ent.delta.record()
	value, err := proto.Marshal(&EntryRecord{Seq: ent.seq, Change: change, Removed: removed})
	return value, eris.Wrap(err, "entry.encode")
}

func decodeEntry(value []byte) (entry, error) {
	var rec EntryRecord
	if err := proto.Unmarshal(value, &rec); err != nil {
		return entry{}, eris.Wrap(err, "decodeEntry")
	}
	return entry{seq: rec.GetSeq(), delta: newDelta(rec.GetChange(), rec.GetRemoved())}, nil
}

// segment combines the deltas of several entries.
type segment struct {
	number uint64
	// through is the number of the last entry that the segment covers.
	through uint64
	delta   Delta
}

func (seg segment) encode() ([]byte, error) {
	change, removed := seg.delta.record()
	value, err := proto.Marshal(&SegmentRecord{Number: seg.number, Through: seg.through, Change: change, Removed: removed})
	return value, eris.Wrap(err, "segment.encode")
}

func decodeSegment(value []byte) (segment, error) {
	var rec SegmentRecord
	if err := proto.Unmarshal(value, &rec); err != nil {
		return segment{}, eris.Wrap(err, "decodeSegment")
	}
	return segment{number: rec.GetNumber(), through: rec.GetThrough(), delta: newDelta(rec.GetChange(), rec.GetRemoved())}, nil
}

// head holds the numbers of the oldest segment that a reader needs and of the newest
// segment when the head was written; newer segments can exist.
type head struct {
	first uint64
	last  uint64
}

func (hea head) encode() ([]byte, error) {
	value, err := proto.Marshal(&HeadRecord{Format: format, First: hea.first, Last: hea.last})
	return value, eris.Wrap(err, "head.encode")
}

func decodeHead(value []byte) (head, error) {
	var rec HeadRecord
	if err := proto.Unmarshal(value, &rec); err != nil {
		return head{}, eris.Wrap(err, "decodeHead")
	}
	if rec.GetFormat() != format {
		return head{}, eris.Wrap(errFormat, "decodeHead")
	}
	return head{first: rec.GetFirst(), last: rec.GetLast()}, nil
}

// record returns the encoded form of a delta: a record with its times and claims, and
// the removed slots.
func (del Delta) record() (*ShardRecord, []string) {
	rec := &ShardRecord{ForgottenMs: del.forgottenMs, BodilessMs: del.bodilessMs, Claims: make([]*ClaimRecord, 0, len(del.claims))}
	var removed []string
	for slot, cla := range del.claims {
		if cla == nil {
			removed = append(removed, slot)
		} else {
			rec.Claims = append(rec.Claims, cla.record())
		}
	}
	return rec, removed
}

func newDelta(rec *ShardRecord, removed []string) Delta {
	del := Delta{forgottenMs: rec.GetForgottenMs(), bodilessMs: rec.GetBodilessMs(), claims: make(map[string]*Claim, len(rec.GetClaims())+len(removed))}
	for _, slot := range removed {
		del.claims[slot] = nil
	}
	for _, claimRec := range rec.GetClaims() {
		cla := claimRec.claim()
		del.claims[cla.slot()] = cla
	}
	return del
}

func (cla *Claim) record() *ClaimRecord {
	return &ClaimRecord{
		Key: cla.Key, BodyDigest: []byte(cla.BodyDigest), Host: cla.Host, Nonce: packNonce(cla.Nonce), KeyTimeMs: cla.KeyTimeMs,
		State: int32(cla.State), Status: cla.Outcome.GetStatus(), ContentType: cla.Outcome.GetContentType(),
		Body: cla.Outcome.GetBody(), Truncated: cla.Outcome.GetTruncated(),
	}
}

func (rec *ClaimRecord) claim() *Claim {
	cla := &Claim{
		Key: rec.GetKey(), BodyDigest: string(rec.GetBodyDigest()), Host: rec.GetHost(), Nonce: unpackNonce(rec.GetNonce()),
		KeyTimeMs: rec.GetKeyTimeMs(), State: ClaimState(rec.GetState()),
	}
	if cla.State == ClaimFinished {
		cla.Outcome = &messenger.Outcome{Status: rec.GetStatus(), ContentType: rec.GetContentType(), Body: rec.GetBody(), Truncated: rec.GetTruncated()}
	}
	return cla
}

// packNonce returns a UUID in its binary form and any other nonce as it is.
func packNonce(nonce string) []byte {
	if id, err := uuid.Parse(nonce); err == nil && id.String() == nonce {
		return id[:]
	}
	return []byte(nonce)
}

// unpackNonce is the inverse of packNonce. No nonce other than a UUID may have 16
// bytes.
func unpackNonce(raw []byte) string {
	if len(raw) != len(uuid.UUID{}) {
		return string(raw)
	}
	return uuid.UUID(raw).String()
}
