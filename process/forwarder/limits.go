package forwarder

import (
	"context"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/throttler"
)

// maxProbeLimits is the number of limits of endpoints that a membership probe carries.
const maxProbeLimits = 32

// shareLimits puts changed limits in force in the plans of this host and broadcasts them to
// peers. Limits change seldom, so each change is a message of its own.
func (fwd *Forwarder) shareLimits(lims []throttler.Limit) {
	if len(lims) == 0 {
		return
	}
	go func() {
		fwd.planRunner.Refresh()
		fwd.withUpdateTimeout(func(ctx context.Context) {
			fwd.gossiper.Broadcast(ctx, func() *messenger.Envelope {
				return &messenger.Envelope{Body: &messenger.Envelope_LimitsPush{LimitsPush: &messenger.LimitsPush{Limits: throttler.Messages(lims)}}}
			})
		})
	}()
}

// handleLimitsPush merges limits that a peer has observed.
func (fwd *Forwarder) handleLimitsPush(pus *messenger.LimitsPush, now time.Time) *messenger.Envelope {
	fwd.mergeLimits(pus.GetLimits(), now)
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

func (fwd *Forwarder) mergeLimits(recs []*messenger.LimitRecord, now time.Time) {
	fwd.shareLimits(fwd.throttler.Merge(throttler.FromMessages(recs), now))
}

// probeLimits returns the limits that a membership probe carries, for hosts that have
// started or that a broadcast has not reached.
func (fwd *Forwarder) probeLimits() []*messenger.LimitRecord {
	return throttler.Messages(fwd.throttler.Newest(maxProbeLimits))
}
