package journaler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

const (
	// WritesPerShard bounds the writes a second of one shard by one writer. It limits the
	// load on the store whatever the number of changes.
	WritesPerShard = 4
	writeBurst     = 4

	// maxBatch and maxBatchBytes bound the changes of one write.
	maxBatch      = 4096
	maxBatchBytes = 200_000
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// minRetryPause and maxRetryPause bound the pause between attempts of a batch.
	minRetryPause = 25 * time.Millisecond
	maxRetryPause = time.Second
	// idlePeriod is how long a writer without changes keeps the content of the log in
	// memory.
	idlePeriod = time.Minute
	// segmentWrites is the number of writes for a segment: the segment and the head. They
	// count towards WritesPerShard.
	segmentWrites = 2
)

// waiter is a change that waits for its result.
type waiter struct {
	com      *messenger.ClaimCommit
	deadline time.Time
	done     chan *messenger.ClaimResult
}

// writer collects the changes of one shard and commits them in batches. It runs only
// while changes wait.
type writer struct {
	jou *Journal

	mu      sync.Mutex
	queue   []*waiter
	running bool
	// idleTimer drops the cached log if no change arrives for idlePeriod.
	idleTimer *time.Timer

	// The fields below belong to the running batch.
	limiter *rate.Limiter
	log     shardLog
}

func newWriter(jou *Journal, shard uint32) *writer {
	log := shardLog{store: jou.Store, path: fmt.Sprintf("claims/%02d", shard), ring: ringEntries, segmentRing: ringSegments}
	if jou.ring > 0 {
		log.ring, log.segmentRing = jou.ring, jou.ring
	}
	return &writer{jou: jou, limiter: rate.NewLimiter(WritesPerShard, writeBurst), log: log}
}

// commit queues a change and waits for its result. A change that is not in a batch when
// ctx ends is withdrawn.
func (wri *writer) commit(ctx context.Context, com *messenger.ClaimCommit) *messenger.ClaimResult {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = wri.jou.now().Add(storeTimeout)
	}
	wai := &waiter{com: com, deadline: deadline, done: make(chan *messenger.ClaimResult, 1)}
	wri.add(wai)
	select {
	case res := <-wai.done:
		return res
	case <-ctx.Done():
	}
	if wri.withdraw(wai) {
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_NOT_COMMITTED, Message: "the time for the claim passed before it was written"}
	}
	return unknown("the time for the claim passed while it was written")
}

func (wri *writer) add(wai *waiter) {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	wri.queue = append(wri.queue, wai)
	if wri.running {
		return
	}
	wri.running = true
	if wri.idleTimer != nil {
		wri.idleTimer.Stop()
	}
	go wri.run()
}

// withdraw removes a change from the queue and reports whether it was there.
func (wri *writer) withdraw(wai *waiter) bool {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	for i, other := range wri.queue {
		if other == wai {
			wri.queue = append(wri.queue[:i:i], wri.queue[i+1:]...)
			return true
		}
	}
	return false
}

// continueRun reports whether changes wait. If there are none it marks the run as ended.
func (wri *writer) continueRun() bool {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	wri.running = len(wri.queue) > 0
	if !wri.running {
		wri.idleTimer = time.AfterFunc(idlePeriod, wri.dropLog)
	}
	return wri.running
}

// dropLog frees the memory of the cached log, unless new changes have arrived.
func (wri *writer) dropLog() {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	if !wri.running {
		wri.log.reset()
	}
}

// nextBatch removes the changes of the next batch from the queue.
func (wri *writer) nextBatch() []*waiter {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	limit := wri.jou.batchLimit
	if limit == 0 {
		limit = maxBatch
	}
	n, size := 0, 0
	for n < min(len(wri.queue), limit) && size < maxBatchBytes {
		size += newClaim(wri.queue[n].com, ClaimHeld).size() + len(wri.queue[n].com.GetOutcome().GetBody())
		n++
	}
	wais := wri.queue[:n:n]
	wri.queue = wri.queue[n:]
	return wais
}

func (wri *writer) run() {
	for wri.continueRun() {
		// Under load, the changes of a batch arrive during this wait.
		_ = wri.limiter.Wait(context.Background())
		wais := wri.nextBatch()
		if len(wais) == 0 {
			continue
		}
		results := wri.commitBatch(wais)
		for i, wai := range wais {
			wai.done <- results[i]
		}
		wri.compact()
	}
}

// compact writes a segment if one is due. A failure leaves the log as it is.
func (wri *writer) compact() {
	if !wri.log.segmentDue() {
		return
	}
	_ = wri.limiter.WaitN(context.Background(), segmentWrites)
	ctx, stop := context.WithTimeout(context.Background(), storeTimeout)
	defer stop()
	if err := wri.log.writeSegment(ctx); err != nil {
		wri.jou.scope().Counter("claim_segments_failed").Inc(1)
	}
}

// commitBatch carries out the actions of one batch.
func (wri *writer) commitBatch(wais []*waiter) []*messenger.ClaimResult {
	coms := make([]*messenger.ClaimCommit, 0, len(wais))
	var deadline time.Time
	for _, wai := range wais {
		coms = append(coms, wai.com)
		if wai.deadline.After(deadline) {
			deadline = wai.deadline
		}
	}
	ctx, stop := context.WithDeadline(context.Background(), deadline)
	defer stop()
	bat := NewBatch(coms, &wri.log.shard, wri.log.seq, wri.log.loaded())
	bac := &backoff.ExponentialBackOff{InitialInterval: minRetryPause, MaxInterval: maxRetryPause, Multiplier: 2, RandomizationFactor: 0.5}
	bac.Reset()
	var eve Event = Started{}
	for {
		next, act := bat.Next(eve, wri.jou.now())
		bat = next
		if ans, ok := act.(Answer); ok {
			wri.jou.scope().Counter("claim_batches").Inc(1)
			wri.jou.scope().Counter("claim_changes").Inc(int64(len(coms)))
			return ans.Results
		}
		if loa, ok := act.(Load); ok && loa.Pause {
			sleep(ctx, bac.NextBackOff())
		}
		eve = wri.carryOut(ctx, act)
	}
}

func (wri *writer) carryOut(ctx context.Context, act Action) Event {
	if ctx.Err() != nil {
		return Expired{}
	}
	switch act := act.(type) {
	case Load:
		return wri.load(ctx)
	case Store:
		return wri.store(ctx, act)
	default:
		return Expired{}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (wri *writer) load(ctx context.Context) Event {
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	if err := wri.log.load(ctx); err != nil {
		return LoadFailed{eris.Wrapf(err, "writer.load: %s", wri.log.path).Error()}
	}
	return Loaded{Shard: &wri.log.shard, Seq: wri.log.seq}
}

func (wri *writer) store(ctx context.Context, sto Store) Event {
	if !wri.log.loaded() || sto.Seq != wri.log.seq {
		return Conflicted{}
	}
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	err := wri.log.append(ctx, sto.Delta)
	switch {
	case err == nil:
		return Stored{wri.log.seq}
	case eris.Is(err, persister.ErrConflict):
		wri.jou.scope().Counter("claim_conflicts").Inc(1)
		return Conflicted{}
	case eris.Is(err, persister.ErrRateLimited), eris.Is(err, persister.ErrTooLarge), eris.Is(err, errFull), neverSent(err):
		return Refused{err.Error()}
	default:
		wri.jou.scope().Counter("claim_writes_lost").Inc(1)
		return WriteUnknown{err.Error()}
	}
}

// neverSent reports whether the error occurred before a connection was made.
func neverSent(err error) bool {
	var ope *net.OpError
	return errors.As(err, &ope) && ope.Op == "dial"
}

func unknown(message string) *messenger.ClaimResult {
	return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_UNKNOWN, Message: message}
}
