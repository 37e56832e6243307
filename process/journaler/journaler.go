// Package journaler keeps the claims of calls that must run at most once in
// shard objects of the platform's store.
package journaler

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	// Shards is the number of shard objects that keys are hashed to.
	Shards = 64
	// Retention is how long a claim answers repeats, counted from the time of
	// its key.
	Retention = 10 * time.Minute

	maxTries = 8
)

// Claim is one key in a shard.
type Claim struct {
	Key         string
	BodyDigest  []byte
	Host        string
	Incarnation uint64
	Nonce       string
	KeyTimeMs   int64
	Finished    bool
	Outcome     *messenger.Outcome `json:",omitempty"`
}

// Shard is the value of a shard object.
type Shard struct{ Claims map[string]Claim }

// Store is the part of the platform that the journal needs.
type Store interface {
	Get(ctx context.Context, path string) (persister.Object, error)
	Put(ctx context.Context, obj persister.Object) (uint64, error)
}

// Journal commits changes of claims.
type Journal struct {
	Store Store

	mus [Shards]sync.Mutex
}

// ShardOf returns the shard of a key.
func ShardOf(key string) uint32 { return uint32(xxhash.Sum64String(key) % Shards) }

// Commit applies one change with a conditional write and returns what the
// shard holds afterwards.
func (jou *Journal) Commit(ctx context.Context, com *messenger.ClaimCommit, now time.Time) *messenger.ClaimResult {
	ind := ShardOf(com.GetKey())
	jou.mus[ind].Lock()
	defer jou.mus[ind].Unlock()
	path := fmt.Sprintf("claims/%02d", ind)
	var las error
	for range maxTries {
		obj, sha, err := jou.read(ctx, path)
		if err != nil {
			return unknown(err)
		}
		sha.expire(now)
		res, cha := sha.apply(com)
		if !cha {
			return res
		}
		obj.Value, err = json.Marshal(sha)
		if err != nil {
			return unknown(err)
		}
		if _, las = jou.Store.Put(ctx, obj); las == nil {
			return res
		}
		if ctx.Err() != nil {
			return unknown(las)
		}
		// Whatever the error, the next read shows by the nonce whether the
		// write took effect.
	}
	return unknown(las)
}

func (jou *Journal) read(ctx context.Context, path string) (persister.Object, Shard, error) {
	sha := Shard{Claims: map[string]Claim{}}
	obj, err := jou.Store.Get(ctx, path)
	if eris.Is(err, persister.ErrNotFound) {
		return persister.Object{Path: path}, sha, nil
	}
	if err != nil {
		return obj, sha, err
	}
	err = json.Unmarshal(obj.Value, &sha)
	return obj, sha, eris.Wrapf(err, "Journal.read: decode %s", path)
}

func unknown(err error) *messenger.ClaimResult {
	return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_UNKNOWN, Message: err.Error()}
}

func (sha Shard) expire(now time.Time) {
	lim := now.Add(-Retention).UnixMilli()
	for key, cla := range sha.Claims {
		if cla.KeyTimeMs < lim {
			delete(sha.Claims, key)
		}
	}
}

// apply changes the shard and reports whether it must be written.
func (sha Shard) apply(com *messenger.ClaimCommit) (*messenger.ClaimResult, bool) {
	old, fou := sha.Claims[com.GetKey()]
	own := fou && old.Nonce == com.GetNonce()
	switch com.GetStep() {
	case messenger.ClaimCommit_STEP_FINISH:
		if !own || old.Finished {
			return result(messenger.ClaimResult_STATE_FINISHED), false
		}
		old.Finished = true
		old.Outcome = com.GetOutcome()
		sha.Claims[old.Key] = old
		return result(messenger.ClaimResult_STATE_FINISHED), true
	case messenger.ClaimCommit_STEP_RELEASE:
		if own {
			delete(sha.Claims, old.Key)
		}
		return result(messenger.ClaimResult_STATE_NOT_COMMITTED), own
	default:
		return sha.claim(com, old, fou, own)
	}
}

func (sha Shard) claim(com *messenger.ClaimCommit, old Claim, fou, own bool) (*messenger.ClaimResult, bool) {
	switch {
	case !fou:
		sha.Claims[com.GetKey()] = Claim{
			Key: com.GetKey(), BodyDigest: com.GetBodyDigest(), Host: com.GetHost(), Incarnation: com.GetIncarnation(),
			Nonce: com.GetNonce(), KeyTimeMs: com.GetKeyTimeMs(),
		}
		return result(messenger.ClaimResult_STATE_COMMITTED), true
	case own:
		return result(messenger.ClaimResult_STATE_COMMITTED), false
	case !bytes.Equal(old.BodyDigest, com.GetBodyDigest()):
		return result(messenger.ClaimResult_STATE_CONFLICT), false
	case old.Finished:
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_FINISHED, Outcome: old.Outcome}, false
	default:
		return result(messenger.ClaimResult_STATE_HELD), false
	}
}

func result(sta messenger.ClaimResult_State) *messenger.ClaimResult {
	return &messenger.ClaimResult{State: sta}
}
