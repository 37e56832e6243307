// Package journaler stores the claims of calls that must run at most once. The claims
// are kept in the platform's store. A caller gives such a call a key. Before a host
// dispatches the call, it claims the key under a nonce. Afterwards it finishes the
// claim with the outcome, for repeats of the call, or releases the claim if the call
// did not run.
//
// A key hashes to a shard. Hosts send the changes of a shard to its writer, a host that
// all hosts determine by rendezvous hashing. The writer commits all queued changes with
// one conditional write, as one entry of the shard's log. Two writers of one shard at
// the same time are harmless, since each write is conditional on the version of its
// object.
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
	// A forward to one peer gets at most 1/forwardDivisor of the remaining time, and at
	// most maxForwardTimeout.
	forwardDivisor    = 2
	maxForwardTimeout = 2 * time.Second
	// avoidPeriod is how long a peer gets no forwarded changes after a forward to it
	// failed.
	avoidPeriod = 5 * time.Second
	// writerChoiceLifetime is how long the writers of a shard are cached.
	writerChoiceLifetime = 500 * time.Millisecond
	// defaultBudget bounds a commit whose message has no budget.
	defaultBudget = 5 * time.Second
)

// ObjectStore is the part of the platform's object API that the journal uses.
type ObjectStore interface {
	Get(ctx context.Context, path string) (persister.Object, error)
	Put(ctx context.Context, obj persister.Object) (uint64, error)
}

// PeerClient sends envelopes to other hosts and returns their replies.
type PeerClient interface {
	Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error)
}

// Journal commits changes of claims. Store must be set; the other fields are optional.
type Journal struct {
	Store ObjectStore
	// Self, Members and Peers are used to forward changes to the writers of their shards.
	// Without Members or Peers the host writes all shards itself.
	Self    Member
	Members Members
	Peers   PeerClient
	// Clock returns the present time; the system's clock is used if it is nil.
	Clock func() time.Time
	// Scope receives the metrics; nil disables them.
	Scope tally.Scope

	// batchLimit bounds the changes of one write; 0 stands for maxBatchChanges.
	batchLimit int
	// ringSize is the number of entry objects and of segment objects of a shard; 0
	// stands for the constants entryObjects and segmentObjects.
	ringSize uint64

	mu            sync.Mutex
	writers       [Shards]*writer
	writerChoices [Shards]writerChoice
	avoidedUntil  map[string]time.Time
	settling      atomic.Int64
}

// writerChoice holds the hosts to try as writers of a shard and the time at which they
// were chosen.
type writerChoice struct {
	chosenAt time.Time
	hosts    []Member
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
// the claim. It ends when ctx ends. NOT_COMMITTED means that the change had no effect
// and can have none later; UNKNOWN means that it may have had an effect or may still
// have one.
func (jou *Journal) Commit(ctx context.Context, com *messenger.ClaimCommit) *messenger.ClaimResult {
	ctx, stop := withBudget(ctx, com)
	defer stop()
	mayHaveEffect := false
	res := unknownResult("no writer answered")
	for _, mem := range jou.writerHosts(ShardOf(com.GetKey())) {
		if mem.ID == jou.Self.ID {
			res = jou.Write(ctx, com)
		} else {
			res = jou.forward(ctx, mem, com)
		}
		switch res.GetState() {
		case messenger.ClaimResult_STATE_UNKNOWN:
			mayHaveEffect = true
		case messenger.ClaimResult_STATE_NOT_COMMITTED:
		default:
			return res
		}
		if ctx.Err() != nil {
			break
		}
	}
	if mayHaveEffect {
		return unknownResult(res.GetMessage())
	}
	return res
}

// withBudget returns a context that ends when the budget in the message, or else
// defaultBudget, has passed.
func withBudget(ctx context.Context, com *messenger.ClaimCommit) (context.Context, context.CancelFunc) {
	budget := messenger.Millis(com.GetBudgetMs())
	if budget <= 0 {
		budget = defaultBudget
	}
	return context.WithTimeout(ctx, budget)
}

// Write commits a change on this host. It is called for changes that peers forward and
// for the changes that this host writes itself.
func (jou *Journal) Write(ctx context.Context, com *messenger.ClaimCommit) *messenger.ClaimResult {
	ctx, stop := withBudget(ctx, com)
	defer stop()
	return jou.writerOf(ShardOf(com.GetKey())).commit(ctx, com)
}

// writerHosts returns the hosts to try as writers of a shard, without peers to which a
// forward failed less than avoidPeriod ago.
func (jou *Journal) writerHosts(shard uint32) []Member {
	if jou.Members == nil || jou.Peers == nil {
		return []Member{jou.Self}
	}
	now := jou.now()
	jou.mu.Lock()
	defer jou.mu.Unlock()
	cho := &jou.writerChoices[shard]
	if cho.hosts == nil || now.Sub(cho.chosenAt) > writerChoiceLifetime {
		*cho = writerChoice{chosenAt: now, hosts: WriterHosts(shard, jou.candidates(now), jou.Self)}
	}
	return cho.hosts
}

// candidates returns the live hosts without those to which a forward failed less than
// avoidPeriod ago. jou.mu must be held.
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
	forwarded := forwardedCommit(com, budget)
	rep, err := jou.Peers.Call(ctx, mem.Address, &messenger.Envelope{Body: &messenger.Envelope_ClaimCommit{ClaimCommit: forwarded}})
	if err != nil {
		jou.avoid(mem)
		return unknownResult("peer " + mem.ID + ": " + err.Error())
	}
	if rep.GetClaimResult() == nil {
		jou.avoid(mem)
		return unknownResult("peer " + mem.ID + " sent another message than the result of a claim")
	}
	return rep.GetClaimResult()
}

// avoid excludes a peer from the writers for avoidPeriod and discards the cached
// choices of writers.
func (jou *Journal) avoid(mem Member) {
	jou.scope().Counter("claim_forwards_failed").Inc(1)
	jou.mu.Lock()
	defer jou.mu.Unlock()
	if jou.avoidedUntil == nil {
		jou.avoidedUntil = map[string]time.Time{}
	}
	jou.avoidedUntil[mem.ID] = jou.now().Add(avoidPeriod)
	jou.writerChoices = [Shards]writerChoice{}
}

// forwardedCommit returns a copy of a change for a peer, with its shard and a budget.
func forwardedCommit(com *messenger.ClaimCommit, budget time.Duration) *messenger.ClaimCommit {
	return &messenger.ClaimCommit{
		Step: com.GetStep(), Shard: ShardOf(com.GetKey()), Key: com.GetKey(), BodyDigest: com.GetBodyDigest(), Host: com.GetHost(),
		Incarnation: com.GetIncarnation(), Nonce: com.GetNonce(), KeyTimeMs: com.GetKeyTimeMs(), Outcome: com.GetOutcome(),
		BudgetMs: max(1, budget.Milliseconds()),
	}
}
