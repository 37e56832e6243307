// Package journaler stores the claims of calls that must run at most once. The claims are
// kept in the platform's store.
//
// A key hashes to a shard. Hosts send the changes of a shard to its writer, a host that
// all of them choose alike. The writer commits all waiting changes with one conditional
// write, as one entry of the shard's log. Two writers of one shard at the same time are
// harmless, since each write is conditional on the version of its object.
package journaler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"

	"github.com/uber-go/tally/v4"
)

const (
	// forwardDivisor bounds the time for one peer to 1/forwardDivisor of the remaining
	// time.
	forwardDivisor    = 2
	maxForwardTimeout = 2 * time.Second
	// avoidPeriod is how long a peer gets no forwards after one to it failed.
	avoidPeriod = 5 * time.Second
	// routeLifetime is how long the writers of a shard are cached.
	routeLifetime = 500 * time.Millisecond
	// defaultBudget bounds a commit whose message has no budget.
	defaultBudget = 5 * time.Second
)

// ObjectStore is the part of the platform's object API that the journal uses.
type ObjectStore interface {
	Get(ctx context.Context, path string) (persister.Object, error)
	Put(ctx context.Context, obj persister.Object) (uint64, error)
}

// PeerCaller sends envelopes to other hosts and returns their replies.
type PeerCaller interface {
	Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error)
}

// Journal commits changes of claims. Store must be set.
type Journal struct {
	Store ObjectStore
	// Self, Members and Peers are used to forward changes to the writers of their shards.
	// Without Members or Peers the host writes all shards itself.
	Self    Member
	Members Members
	Peers   PeerCaller
	// Clock returns the present time; the system's clock is used if it is nil.
	Clock func() time.Time
	Scope tally.Scope

	// batchLimit bounds the changes of one write; 0 stands for maxBatch.
	batchLimit int
	// ring is the number of entry objects and of segment objects of a shard; 0 stands for
	// ringEntries and ringSegments.
	ring uint64

	mu           sync.Mutex
	writers      [Shards]*writer
	routes       [Shards]route
	avoidedUntil map[string]time.Time
	retrying     atomic.Int64
}

// route holds the writers of a shard and the time at which they were chosen.
type route struct {
	at      time.Time
	writers []Member
}

func (jou *Journal) now() time.Time {
	if jou.Clock == nil {
		return time.Now()
	}
	return jou.Clock()
}

func (jou *Journal) scope() tally.Scope {
	if jou.Scope == nil {
		return tally.NoopScope
	}
	return jou.Scope
}

func (jou *Journal) writerOf(shard uint32) *writer {
	jou.mu.Lock()
	defer jou.mu.Unlock()
	if jou.writers[shard] == nil {
		jou.writers[shard] = newWriter(jou, shard)
	}
	return jou.writers[shard]
}

// Commit commits a change through the shard's writer and returns the resulting state of
// the claim. It ends when ctx ends. The state is NOT_COMMITTED only if the change had no
// effect and can have none later, and UNKNOWN if that could not be determined.
func (jou *Journal) Commit(ctx context.Context, com *messenger.ClaimCommit) *messenger.ClaimResult {
	ctx, stop := withBudget(ctx, com)
	defer stop()
	unknownEffect := false
	res := unknown("no writer answered")
	for _, mem := range jou.writersOf(ShardOf(com.GetKey())) {
		if mem.ID == jou.Self.ID {
			res = jou.Write(ctx, com)
		} else {
			res = jou.forward(ctx, mem, com)
		}
		switch res.GetState() {
		case messenger.ClaimResult_STATE_UNKNOWN:
			unknownEffect = true
		case messenger.ClaimResult_STATE_NOT_COMMITTED:
		default:
			return res
		}
		if ctx.Err() != nil {
			break
		}
	}
	if unknownEffect {
		return unknown(res.GetMessage())
	}
	return res
}

func withBudget(ctx context.Context, com *messenger.ClaimCommit) (context.Context, context.CancelFunc) {
	budget := time.Duration(com.GetBudgetMs()) * time.Millisecond
	if budget <= 0 {
		budget = defaultBudget
	}
	return context.WithTimeout(ctx, budget)
}

// Write commits a change on this host. It serves changes that peers forward.
func (jou *Journal) Write(ctx context.Context, com *messenger.ClaimCommit) *messenger.ClaimResult {
	ctx, stop := withBudget(ctx, com)
	defer stop()
	return jou.writerOf(ShardOf(com.GetKey())).commit(ctx, com)
}

// writersOf returns the writers to try for a shard, without peers to which a forward
// failed less than avoidPeriod ago.
func (jou *Journal) writersOf(shard uint32) []Member {
	if jou.Members == nil || jou.Peers == nil {
		return []Member{jou.Self}
	}
	now := jou.now()
	jou.mu.Lock()
	defer jou.mu.Unlock()
	rou := &jou.routes[shard]
	if rou.writers == nil || now.Sub(rou.at) > routeLifetime {
		*rou = route{at: now, writers: WriterHosts(shard, jou.candidates(now), jou.Self)}
	}
	return rou.writers
}

// candidates returns the live hosts without those to which a forward failed less than
// avoidPeriod ago. The caller holds the lock.
func (jou *Journal) candidates(now time.Time) []Member {
	live := jou.Members.Live()
	if len(jou.avoidedUntil) == 0 {
		return live
	}
	var out []Member
	for _, mem := range live {
		if until, ok := jou.avoidedUntil[mem.ID]; ok && now.Before(until) {
			continue
		}
		delete(jou.avoidedUntil, mem.ID)
		out = append(out, mem)
	}
	return out
}

func (jou *Journal) forward(ctx context.Context, mem Member, com *messenger.ClaimCommit) *messenger.ClaimResult {
	deadline, _ := ctx.Deadline()
	budget := min(deadline.Sub(jou.now())/forwardDivisor, maxForwardTimeout)
	ctx, stop := context.WithTimeout(ctx, budget)
	defer stop()
	forwarded := withBudgetMs(com, budget)
	rep, err := jou.Peers.Call(ctx, mem.Address, &messenger.Envelope{Body: &messenger.Envelope_ClaimCommit{ClaimCommit: forwarded}})
	if err != nil {
		jou.avoid(mem)
		return unknown("peer " + mem.ID + ": " + err.Error())
	}
	if rep.GetClaimResult() == nil {
		jou.avoid(mem)
		return unknown("peer " + mem.ID + " sent another message than the result of a claim")
	}
	return rep.GetClaimResult()
}

func (jou *Journal) avoid(mem Member) {
	jou.scope().Counter("claim_forwards_failed").Inc(1)
	jou.mu.Lock()
	defer jou.mu.Unlock()
	if jou.avoidedUntil == nil {
		jou.avoidedUntil = map[string]time.Time{}
	}
	jou.avoidedUntil[mem.ID] = jou.now().Add(avoidPeriod)
	jou.routes = [Shards]route{}
}

func withBudgetMs(com *messenger.ClaimCommit, budget time.Duration) *messenger.ClaimCommit {
	return &messenger.ClaimCommit{
		Step: com.GetStep(), Shard: ShardOf(com.GetKey()), Key: com.GetKey(), BodyDigest: com.GetBodyDigest(), Host: com.GetHost(),
		Incarnation: com.GetIncarnation(), Nonce: com.GetNonce(), KeyTimeMs: com.GetKeyTimeMs(), Outcome: com.GetOutcome(),
		BudgetMs: max(1, budget.Milliseconds()),
	}
}
