package journaler

import (
	"context"
	"time"

	"hemlockpin/connection/messenger"

	"github.com/cenkalti/backoff/v5"
)

const (
	// maxSettling bounds the changes that are retried in the background.
	maxSettling      = 4096
	settleTimeout    = 5 * time.Second
	minSettleBackoff = 100 * time.Millisecond
	maxSettleBackoff = 10 * time.Second
)

// Pending returns the number of changes that are still retried.
func (jou *Journal) Pending() int { return int(jou.settling.Load()) }

// Settle commits a FINISH or RELEASE and retries it until it is done or its
// claim is past the retention. The channel is closed at the end. Beyond the
// bound of changes in progress it gives up at once; the claim then stays held,
// and repeats of its key are told that the outcome is unknown.
func (jou *Journal) Settle(com *messenger.ClaimCommit) <-chan struct{} {
	don := make(chan struct{})
	if jou.settling.Add(1) > maxSettling {
		jou.settling.Add(-1)
		jou.scope().Counter("claims_unsettled").Inc(1)
		close(don)
		return don
	}
	go func() {
		defer close(don)
		defer jou.settling.Add(-1)
		jou.settle(com)
	}()
	return don
}

func (jou *Journal) settle(com *messenger.ClaimCommit) {
	bac := &backoff.ExponentialBackOff{InitialInterval: minSettleBackoff, MaxInterval: maxSettleBackoff, Multiplier: 2, RandomizationFactor: 0.5}
	bac.Reset()
	// The claim of a key is kept for the retention from its start at least.
	end := jou.now().Add(Retention)
	for !jou.settled(com) {
		if jou.now().After(end) {
			jou.scope().Counter("claims_unsettled").Inc(1)
			return
		}
		time.Sleep(bac.NextBackOff())
	}
}

func (jou *Journal) settled(com *messenger.ClaimCommit) bool {
	ctx, stop := context.WithTimeout(context.Background(), settleTimeout)
	defer stop()
	switch jou.Commit(ctx, com).GetState() {
	case messenger.ClaimResult_STATE_UNKNOWN, messenger.ClaimResult_STATE_NOT_COMMITTED:
		return false
	default:
		return true
	}
}
