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

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

const (
	// WritesPerShard bounds the writes a second of one shard by one writer, so
	// that the store's rate is kept however many changes there are.
	WritesPerShard = 4
	writeBurst     = 4

	// maxBatch bounds the changes of one write.
	maxBatch = 4096
	// storeTimeout bounds one call of the store.
	storeTimeout = 2 * time.Second
	retryPause   = 25 * time.Millisecond
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
	jou  *Journal
	path string

	mu      sync.Mutex
	queue   []*waiter
	running bool

	// The fields below belong to the running batch.
	limiter *rate.Limiter
	shard   Shard
	version uint64
	known   bool
}

func newWriter(jou *Journal, ind uint32) *writer {
	return &writer{jou: jou, path: fmt.Sprintf("claims/%02d", ind), limiter: rate.NewLimiter(WritesPerShard, writeBurst)}
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
	if !wri.running {
		wri.running = true
		go wri.run()
	}
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
	return wri.running
}

// take removes the next batch from the queue.
func (wri *writer) take() []*waiter {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	lim := wri.jou.batch
	if lim == 0 {
		lim = maxBatch
	}
	cou := min(len(wri.queue), lim)
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
	bat := NewBatch(coms, wri.shard, wri.version, wri.known)
	var eve Event = Begun{}
	for {
		nex, act := bat.Next(eve, wri.jou.now())
		bat = nex
		if ans, ok := act.(Answer); ok {
			wri.shard, wri.version, wri.known = bat.Remembered(eve)
			wri.jou.scope().Counter("claim_batches").Inc(1)
			wri.jou.scope().Counter("claim_changes").Inc(int64(len(coms)))
			return ans.Results
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
		if act.Pause {
			pause(ctx, retryPause)
		}
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
	obj, err := wri.jou.Store.Get(ctx, wri.path)
	if eris.Is(err, persister.ErrNotFound) {
		return Loaded{}
	}
	if err != nil {
		return LoadFailed{err.Error()}
	}
	sha, err := DecodeShard(obj.Value)
	if err != nil {
		return LoadFailed{eris.Wrapf(err, "writer.load: %s", wri.path).Error()}
	}
	return Loaded{Shard: sha, Version: obj.Version}
}

func (wri *writer) store(ctx context.Context, sto Store) Event {
	val, err := sto.Shard.Encode()
	if err != nil {
		return Refused{err.Error()}
	}
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	ver, err := wri.jou.Store.Put(ctx, persister.Object{Path: wri.path, Version: sto.Version, Value: val})
	switch {
	case err == nil:
		return Stored{ver}
	case eris.Is(err, persister.ErrConflict):
		wri.jou.scope().Counter("claim_conflicts").Inc(1)
		return Conflicted{}
	case eris.Is(err, persister.ErrRateLimited), eris.Is(err, persister.ErrTooLarge), neverSent(err):
		return Refused{err.Error()}
	default:
		wri.jou.scope().Counter("claim_writes_lost").Inc(1)
		return Lost{err.Error()}
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
