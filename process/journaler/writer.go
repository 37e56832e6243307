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
	// WritesPerShard bounds the writes a second of one shard by one writer, so
	// that the store's rate is kept however many changes there are.
	WritesPerShard = 4
	writeBurst     = 4

	// maxBatch and maxBatchBytes bound the changes of one write.
	maxBatch      = 4096
	maxBatchBytes = 200_000
	// storeTimeout bounds one call of the store.
	storeTimeout = 2 * time.Second
	// The pauses between tries of a batch.
	minRetryPause = 25 * time.Millisecond
	maxRetryPause = time.Second
	// restPeriod is how long a writer without changes keeps what it has read.
	restPeriod = time.Minute
	// joinWrites is the number of writes of a segment, which count against the
	// rate of the shard.
	joinWrites = 2
)

// waiter is one change that waits for its result.
type waiter struct {
	com      *messenger.ClaimCommit
	deadline time.Time
	done     chan *messenger.ClaimResult
}

// writer gathers the changes of one shard and commits them in batches. It runs
// only while changes wait.
type writer struct {
	jou *Journal

	mu      sync.Mutex
	queue   []*waiter
	running bool
	// rest forgets the log once no changes have come for restPeriod.
	rest *time.Timer

	// The fields below belong to the running batch.
	limiter *rate.Limiter
	log     shardLog
}

func newWriter(jou *Journal, ind uint32) *writer {
	log := shardLog{store: jou.Store, path: fmt.Sprintf("claims/%02d", ind), ring: ringEntries, segments: ringSegments}
	if jou.ring > 0 {
		log.ring, log.segments = jou.ring, jou.ring
	}
	return &writer{jou: jou, limiter: rate.NewLimiter(WritesPerShard, writeBurst), log: log}
}

// commit waits for the result of one change. A change that was not picked up in
// time is withdrawn.
func (wri *writer) commit(ctx context.Context, com *messenger.ClaimCommit) *messenger.ClaimResult {
	dea, ok := ctx.Deadline()
	if !ok {
		dea = wri.jou.now().Add(storeTimeout)
	}
	wai := &waiter{com: com, deadline: dea, done: make(chan *messenger.ClaimResult, 1)}
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
	if wri.rest != nil {
		wri.rest.Stop()
	}
	go wri.run()
}

// withdraw takes a change out of the queue and reports whether it was there.
func (wri *writer) withdraw(wai *waiter) bool {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	for ind, one := range wri.queue {
		if one == wai {
			wri.queue = append(wri.queue[:ind:ind], wri.queue[ind+1:]...)
			return true
		}
	}
	return false
}

// more reports whether changes wait, and ends the run when there are none.
func (wri *writer) more() bool {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	wri.running = len(wri.queue) > 0
	if !wri.running {
		wri.rest = time.AfterFunc(restPeriod, wri.forget)
	}
	return wri.running
}

// forget gives the memory of the log back, unless changes came.
func (wri *writer) forget() {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	if !wri.running {
		wri.log.reset()
	}
}

// take removes the next batch from the queue.
func (wri *writer) take() []*waiter {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	lim := wri.jou.batch
	if lim == 0 {
		lim = maxBatch
	}
	cou, size := 0, 0
	for cou < min(len(wri.queue), lim) && size < maxBatchBytes {
		size += newClaim(wri.queue[cou].com, ClaimHeld).size() + len(wri.queue[cou].com.GetOutcome().GetBody())
		cou++
	}
	wais := wri.queue[:cou:cou]
	wri.queue = wri.queue[cou:]
	return wais
}

func (wri *writer) run() {
	for wri.more() {
		// The wait is where a batch gathers under load.
		_ = wri.limiter.Wait(context.Background())
		wais := wri.take()
		if len(wais) == 0 {
			continue
		}
		ress := wri.batch(wais)
		for ind, wai := range wais {
			wai.done <- ress[ind]
		}
		wri.shorten()
	}
}

// shorten joins the entries of the log when that is due. A failure leaves the
// log as it is.
func (wri *writer) shorten() {
	if !wri.log.segmentDue() {
		return
	}
	_ = wri.limiter.WaitN(context.Background(), joinWrites)
	ctx, stop := context.WithTimeout(context.Background(), storeTimeout)
	defer stop()
	if err := wri.log.writeSegment(ctx); err != nil {
		wri.jou.scope().Counter("claim_segments_failed").Inc(1)
	}
}

// batch carries out the decisions on one batch.
func (wri *writer) batch(wais []*waiter) []*messenger.ClaimResult {
	coms := make([]*messenger.ClaimCommit, 0, len(wais))
	var dea time.Time
	for _, wai := range wais {
		coms = append(coms, wai.com)
		if wai.deadline.After(dea) {
			dea = wai.deadline
		}
	}
	ctx, stop := context.WithDeadline(context.Background(), dea)
	defer stop()
	bat := NewBatch(coms, &wri.log.shard, wri.log.seq, wri.log.known())
	bac := &backoff.ExponentialBackOff{InitialInterval: minRetryPause, MaxInterval: maxRetryPause, Multiplier: 2, RandomizationFactor: 0.5}
	bac.Reset()
	var eve Event = Started{}
	for {
		nex, act := bat.Next(eve, wri.jou.now())
		bat = nex
		if ans, ok := act.(Answer); ok {
			wri.jou.scope().Counter("claim_batches").Inc(1)
			wri.jou.scope().Counter("claim_changes").Inc(int64(len(coms)))
			return ans.Results
		}
		if loa, ok := act.(Load); ok && loa.Pause {
			pause(ctx, bac.NextBackOff())
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

func pause(ctx context.Context, dur time.Duration) {
	select {
	case <-time.After(dur):
	case <-ctx.Done():
	}
}

func (wri *writer) load(ctx context.Context) Event {
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	if err := wri.log.load(ctx); err != nil {
		return LoadFailed{eris.Wrapf(err, "writer.load: %s", wri.log.path).Error()}
	}
	return Loaded{Shard: &wri.log.shard, Version: wri.log.seq}
}

func (wri *writer) store(ctx context.Context, sto Store) Event {
	if !wri.log.known() || sto.Version != wri.log.seq {
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

// neverSent reports a failure before a connection was made.
func neverSent(err error) bool {
	var ope *net.OpError
	return errors.As(err, &ope) && ope.Op == "dial"
}

func unknown(message string) *messenger.ClaimResult {
	return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_UNKNOWN, Message: message}
}
