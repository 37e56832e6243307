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
	// WritesPerShard is the largest number of writes a second by one writer to one
	// shard. It limits the load on the store whatever the number of changes.
	WritesPerShard = 4
	// writeBurst is the number of writes that may follow one another without a pause.
	writeBurst = 4

	// A batch has at most maxBatchChanges changes and ends with the change that brings
	// its size to maxBatchBytes.
	maxBatchChanges = 4096
	maxBatchBytes   = 200_000
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// minRetryPause and maxRetryPause bound the pause between attempts of a batch.
	minRetryPause = 25 * time.Millisecond
	maxRetryPause = time.Second
	// idlePeriod is how long a writer without changes keeps the content of the log in
	// memory.
	idlePeriod = time.Minute
	// segmentWrites is the number of objects that are written for a segment: the
	// segment and the head. Their writes count towards WritesPerShard.
	segmentWrites = 2
)

// pendingChange is a queued change whose result is awaited.
type pendingChange struct {
	com      *messenger.ClaimCommit
	deadline time.Time
	// done receives the result once.
	done chan *messenger.ClaimResult
}

// writer collects the changes of one shard and commits them in batches. It runs only
// while changes are queued.
type writer struct {
	jou *Journal

	mu      sync.Mutex
	queue   []*pendingChange
	running bool
	// idleTimer drops the cached log if no change arrives for idlePeriod.
	idleTimer *time.Timer

	// Only the goroutine of run uses limiter and log while running is true; otherwise
	// mu guards them.
	limiter *rate.Limiter
	log     shardLog
}

func newWriter(jou *Journal, shard uint32) *writer {
	log := shardLog{store: jou.Store, path: fmt.Sprintf("claims/%02d", shard), entryObjects: entryObjects, segmentObjects: segmentObjects}
	if jou.ringSize > 0 {
		log.entryObjects, log.segmentObjects = jou.ringSize, jou.ringSize
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
	pen := &pendingChange{com: com, deadline: deadline, done: make(chan *messenger.ClaimResult, 1)}
	wri.add(pen)
	select {
	case res := <-pen.done:
		return res
	case <-ctx.Done():
	}
	if wri.withdraw(pen) {
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_NOT_COMMITTED, Message: "the time for the claim passed before it was written"}
	}
	return unknownResult("the time for the claim passed while it was written")
}

func (wri *writer) add(pen *pendingChange) {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	wri.queue = append(wri.queue, pen)
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
func (wri *writer) withdraw(pen *pendingChange) bool {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	for i, other := range wri.queue {
		if other == pen {
			wri.queue = append(wri.queue[:i:i], wri.queue[i+1:]...)
			return true
		}
	}
	return false
}

// continueRun reports whether changes are queued. If not, it marks the run as ended and
// starts idleTimer.
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
func (wri *writer) nextBatch() []*pendingChange {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	limit := wri.jou.batchLimit
	if limit == 0 {
		limit = maxBatchChanges
	}
	n, size := 0, 0
	for n < min(len(wri.queue), limit) && size < maxBatchBytes {
		size += newClaim(wri.queue[n].com, ClaimHeld).size() + len(wri.queue[n].com.GetOutcome().GetBody())
		n++
	}
	pens := wri.queue[:n:n]
	wri.queue = wri.queue[n:]
	return pens
}

func (wri *writer) run() {
	for wri.continueRun() {
		// Under load, the changes of a batch arrive during this wait.
		_ = wri.limiter.Wait(context.Background())
		pens := wri.nextBatch()
		if len(pens) == 0 {
			continue
		}
		results := wri.commitBatch(pens)
		for i, pen := range pens {
			pen.done <- results[i]
		}
		wri.compact()
	}
}

// compact writes a segment if one is due. A failure leaves the stored log valid; a
// later batch tries again.
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

// commitBatch executes the actions of one batch.
func (wri *writer) commitBatch(pens []*pendingChange) []*messenger.ClaimResult {
	coms := make([]*messenger.ClaimCommit, 0, len(pens))
	var deadline time.Time
	for _, pen := range pens {
		coms = append(coms, pen.com)
		if pen.deadline.After(deadline) {
			deadline = pen.deadline
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
		eve = wri.execute(ctx, act)
	}
}

// execute executes a Load or a Store and returns its event, or Expired if ctx has
// ended. It is not called with an Answer.
func (wri *writer) execute(ctx context.Context, act Action) Event {
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

// neverSent reports whether the error occurred before a connection was made, so that
// the request was certainly not sent.
func neverSent(err error) bool {
	var ope *net.OpError
	return errors.As(err, &ope) && ope.Op == "dial"
}

func unknownResult(message string) *messenger.ClaimResult {
	return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_UNKNOWN, Message: message}
}
