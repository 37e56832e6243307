package journaler

import (
	"context"
	"time"

	"hemlockpin/connection/messenger"

	"github.com/cenkalti/backoff/v5"
)

const (
	// maxSettling bounds the changes that are committed in the background.
	maxSettling = 4096
	// settleTimeout bounds one attempt.
	settleTimeout    = 5 * time.Second
	minSettleBackoff = 100 * time.Millisecond
	maxSettleBackoff = 10 * time.Second
)

// Settling returns the number of changes that are being committed in the background.
func (jou *Journal) Settling() int { return int(jou.settling.Load()) }

// Settle commits a FINISH or RELEASE in the background and retries it until it succeeds
// or Retention has passed. The channel is closed when the change was committed or given
// up. If maxSettling changes are in progress, Settle gives up at once without an
// attempt; the claim then stays held, and repeats of its key get the answer that the
// outcome is unknown.
func (jou *Journal) Settle(com *messenger.ClaimCommit) <-chan struct{} {
	done := make(chan struct{})
	if jou.settling.Add(1) > maxSettling {
		jou.settling.Add(-1)
		jou.scope().Counter("claims_unsettled").Inc(1)
		close(done)
		return done
	}
	go func() {
		defer close(done)
		defer jou.settling.Add(-1)
		jou.commitWithRetries(com)
	}()
	return done
}

func (jou *Journal) commitWithRetries(com *messenger.ClaimCommit) {
	bac := &backoff.ExponentialBackOff{InitialInterval: minSettleBackoff, MaxInterval: maxSettleBackoff, Multiplier: 2, RandomizationFactor: 0.5}
	bac.Reset()
	// After this time the claim may have been dropped.
	end := jou.now().Add(Retention)
	for !jou.tryCommit(com) {
		if jou.now().After(end) {
			jou.scope().Counter("claims_unsettled").Inc(1)
			return
		}
		time.Sleep(bac.NextBackOff())
	}
}

func (jou *Journal) tryCommit(com *messenger.ClaimCommit) bool {
	ctx, stop := context.WithTimeout(context.Background(), settleTimeout)
	defer stop()
	switch jou.Commit(ctx, com).GetState() {
	case messenger.ClaimResult_STATE_UNKNOWN, messenger.ClaimResult_STATE_NOT_COMMITTED:
		return false
	default:
		return true
	}
}
