package journaler

import (
	"hemlockpin/connection/messenger"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// Encode formats the shard as the value of its object.
func (sha Shard) Encode() ([]byte, error) {
	rec := &ShardRecord{ForgottenMs: sha.forgottenMs, Claims: make([]*ClaimRecord, 0, len(sha.claims))}
	for _, cla := range sha.claims {
		rec.Claims = append(rec.Claims, &ClaimRecord{
			Key: cla.Key, BodyDigest: cla.BodyDigest, Host: cla.Host, Nonce: packNonce(cla.Nonce), KeyTimeMs: cla.KeyTimeMs,
			State: int32(cla.State), Status: cla.Outcome.GetStatus(), ContentType: cla.Outcome.GetContentType(),
			Body: cla.Outcome.GetBody(), Truncated: cla.Outcome.GetTruncated(),
		})
	}
	val, err := proto.Marshal(rec)
	return val, eris.Wrap(err, "Shard.Encode")
}

// DecodeShard parses the value of a shard object.
func DecodeShard(val []byte) (Shard, error) {
	var rec ShardRecord
	if err := proto.Unmarshal(val, &rec); err != nil {
		return Shard{}, eris.Wrap(err, "DecodeShard")
	}
	sha := Shard{claims: make(map[string]*Claim, len(rec.GetClaims())), forgottenMs: rec.GetForgottenMs()}
	for _, one := range rec.GetClaims() {
		cla := &Claim{
			Key: one.GetKey(), BodyDigest: one.GetBodyDigest(), Host: one.GetHost(), Nonce: unpackNonce(one.GetNonce()),
			KeyTimeMs: one.GetKeyTimeMs(), State: ClaimState(one.GetState()),
		}
		if cla.State == ClaimFinished {
			cla.Outcome = &messenger.Outcome{Status: one.GetStatus(), ContentType: one.GetContentType(), Body: one.GetBody(), Truncated: one.GetTruncated()}
		}
		sha.put(cla)
	}
	return sha, nil
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
