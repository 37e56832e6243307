package relayer

import (
	"context"
	"net/http"
	"time"

	"hemlockpin/connection/exchanger"
	"hemlockpin/process/quarantiner"
)

const (
	// soundEvents is the number of events of one send after which an engine copes with a
	// prompt.
	soundEvents = 2
	// crashCheckTimeout bounds the connection attempt that shows whether an endpoint has
	// crashed. A call that has failed waits at most crashCheckWait for its result: an endpoint
	// that has crashed refuses at once, and one that can't be reached must not delay the
	// resend.
	crashCheckTimeout = 150 * time.Millisecond
	crashCheckWait    = 10 * time.Millisecond
)

// quarantineLeft returns how long calls with the prompt of this call are still refused; 0 if
// they are not.
func (fwd *forwarding) quarantineLeft(now time.Time) time.Duration {
	if fwd.Quarantine == nil || len(fwd.call.SharedParts) == 0 {
		return 0
	}
	return fwd.Quarantine.TimeLeft(fwd.pool.Name, fwd.call.SharedParts, now)
}

func (fwd *forwarding) newTrial() quarantiner.Trial {
	if fwd.Quarantine == nil {
		return quarantiner.Trial{}
	}
	return fwd.Quarantine.NewTrial(fwd.pool.Name, fwd.call.SharedParts)
}

func (fwd *forwarding) recordSound() {
	if fwd.Quarantine != nil {
		fwd.Quarantine.Answered(fwd.trial, fwd.Clock())
	}
}

// recordTrial records what a send shows of the parts of its prompt: that the engine answered
// it, or that the engine has crashed. ans is nil if the send broke before an answer; events
// is the number of events that it forwarded.
func (fwd *forwarding) recordTrial(ctx context.Context, lea Lease, out Outcome, ans *exchanger.Answer, events int) {
	if fwd.Quarantine == nil || len(fwd.call.SharedParts) == 0 || events >= soundEvents {
		return
	}
	switch out.(type) {
	case Whole:
		if ans.Status < http.StatusMultipleChoices && (events > 0 && ans.Framed || !isStream(ans.Header)) {
			fwd.recordSound()
		}
	case Broken:
		evi := quarantiner.WeakEvidence
		if ans != nil && events == 0 {
			evi = quarantiner.StrongEvidence
		}
		if !endedByWatch(ctx) {
			fwd.checkCrash(ctx, lea.Endpoint.Address, evi)
		}
	}
}

// checkCrash records a crash if the endpoint refuses connections.
func (fwd *forwarding) checkCrash(ctx context.Context, address string, evi quarantiner.Evidence) {
	checked := make(chan struct{})
	tri := fwd.trial
	go func() {
		defer close(checked)
		if fwd.Exchanger.Refuses(ctx, address, crashCheckTimeout) {
			fwd.Quarantine.Crashed(tri, evi, fwd.Clock())
		}
	}()
	timer := time.NewTimer(crashCheckWait)
	defer timer.Stop()
	select {
	case <-checked:
	case <-timer.C:
	}
}
