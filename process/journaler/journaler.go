// Package journaler keeps the claims of calls that must run at most once in
// the platform's store.
//
// A key hashes to a shard. Changes of a shard go to its current writer, which
// commits those that wait as one entry of the shard's log with one conditional
// write. Two writers of one shard are harmless, since only the versions of the
// objects decide.
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
	// forwardShare is the part of the time left that one peer gets.
	forwardShare      = 2
	maxForwardTimeout = 2 * time.Second
	// shunPeriod is how long a peer that failed a forward is passed over.
	shunPeriod = 5 * time.Second
	// routePeriod is how long the writers of a shard are remembered.
	routePeriod = 500 * time.Millisecond
	// defaultBudget bounds a commit whose context has no deadline.
	defaultBudget = 5 * time.Second
)

// ObjectStore is the part of the platform that the journal needs.
type ObjectStore interface {
	Get(ctx context.Context, path string) (persister.Object, error)
	Put(ctx context.Context, obj persister.Object) (uint64, error)
}

// Caller places calls to other hosts.
type PeerCaller interface {
	Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error)
}

// Journal commits changes of claims. It needs a Store.
type Journal struct {
	Store ObjectStore
	// Self, Members and Peers route changes to the writers of their shards.
	// Without Members the host writes all shards itself.
	Self    Member
	Members Members
	Peers   PeerCaller
	// Clock returns the present time; nil stands for the system's clock.
	Clock func() time.Time
	Scope tally.Scope

	// batch bounds the changes of one write; 0 stands for maxBatch.
	batch int
	// ring is the number of entry objects of a shard; 0 stands for ringEntries.
	ring uint64

	mu       sync.Mutex
	writers  [Shards]*writer
	routes   [Shards]route
	shunned  map[string]time.Time
	settling atomic.Int64
}

// route is the writers of a shard as chosen at a time.
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

func (jou *Journal) writer(ind uint32) *writer {
	jou.mu.Lock()
	defer jou.mu.Unlock()
	if jou.writers[ind] == nil {
		jou.writers[ind] = newWriter(jou, ind)
	}
	return jou.writers[ind]
}

// Commit brings a change to the shard's writer and returns what the shard holds
// afterwards. It ends with ctx. The state is NOT_COMMITTED only if the change
// had no effect and can have none later, and UNKNOWN if that could not be
// found out.
func (jou *Journal) Commit(ctx context.Context, com *messenger.ClaimCommit) *messenger.ClaimResult {
	ctx, stop := withBudget(ctx, com)
	defer stop()
	lost := false
	res := unknown("no writer answered")
	for _, mem := range jou.route(ShardOf(com.GetKey())) {
		if mem.ID == jou.Self.ID {
			res = jou.Write(ctx, com)
		} else {
			res = jou.forward(ctx, mem, com)
		}
		switch res.GetState() {
		case messenger.ClaimResult_STATE_UNKNOWN:
			lost = true
		case messenger.ClaimResult_STATE_NOT_COMMITTED:
		default:
			return res
		}
		if ctx.Err() != nil {
			break
		}
	}
	if lost {
		return unknown(res.GetMessage())
	}
	return res
}

func withBudget(ctx context.Context, com *messenger.ClaimCommit) (context.Context, context.CancelFunc) {
	bud := time.Duration(com.GetBudgetMs()) * time.Millisecond
	if bud <= 0 {
		bud = defaultBudget
	}
	return context.WithTimeout(ctx, bud)
}

// Write commits a change on this host. It serves the forwards of peers.
func (jou *Journal) Write(ctx context.Context, com *messenger.ClaimCommit) *messenger.ClaimResult {
	ctx, stop := withBudget(ctx, com)
	defer stop()
	return jou.writer(ShardOf(com.GetKey())).commit(ctx, com)
}

// route returns the writers to try, without the peers that failed of late.
func (jou *Journal) route(ind uint32) []Member {
	if jou.Members == nil || jou.Peers == nil {
		return []Member{jou.Self}
	}
	now := jou.now()
	jou.mu.Lock()
	defer jou.mu.Unlock()
	rou := &jou.routes[ind]
	if rou.writers == nil || now.Sub(rou.at) > routePeriod {
		*rou = route{at: now, writers: Writers(ind, jou.unshunned(now), jou.Self)}
	}
	return rou.writers
}

// unshunned returns the live hosts that did not fail a forward of late. The
// caller holds the lock.
func (jou *Journal) unshunned(now time.Time) []Member {
	liv := jou.Members.Live()
	if len(jou.shunned) == 0 {
		return liv
	}
	var out []Member
	for _, mem := range liv {
		if unt, ok := jou.shunned[mem.ID]; ok && now.Before(unt) {
			continue
		}
		delete(jou.shunned, mem.ID)
		out = append(out, mem)
	}
	return out
}

func (jou *Journal) forward(ctx context.Context, mem Member, com *messenger.ClaimCommit) *messenger.ClaimResult {
	dea, _ := ctx.Deadline()
	bud := min(dea.Sub(jou.now())/forwardShare, maxForwardTimeout)
	ctx, stop := context.WithTimeout(ctx, bud)
	defer stop()
	one := withBudgetMs(com, bud)
	rep, err := jou.Peers.Call(ctx, mem.Address, &messenger.Envelope{Body: &messenger.Envelope_ClaimCommit{ClaimCommit: one}})
	if err != nil {
		jou.shun(mem)
		return unknown("peer " + mem.ID + ": " + err.Error())
	}
	if rep.GetClaimResult() == nil {
		jou.shun(mem)
		return unknown("peer " + mem.ID + " sent another message than the result of a claim")
	}
	return rep.GetClaimResult()
}

func (jou *Journal) shun(mem Member) {
	jou.scope().Counter("claim_forwards_failed").Inc(1)
	jou.mu.Lock()
	defer jou.mu.Unlock()
	if jou.shunned == nil {
		jou.shunned = map[string]time.Time{}
	}
	jou.shunned[mem.ID] = jou.now().Add(shunPeriod)
	jou.routes = [Shards]route{}
}

func withBudgetMs(com *messenger.ClaimCommit, bud time.Duration) *messenger.ClaimCommit {
	return &messenger.ClaimCommit{
		Step: com.GetStep(), Shard: ShardOf(com.GetKey()), Key: com.GetKey(), BodyDigest: com.GetBodyDigest(), Host: com.GetHost(),
		Incarnation: com.GetIncarnation(), Nonce: com.GetNonce(), KeyTimeMs: com.GetKeyTimeMs(), Outcome: com.GetOutcome(),
		BudgetMs: max(1, bud.Milliseconds()),
	}
}
