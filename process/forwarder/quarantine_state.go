package forwarder

import "time"

// quarantineState is what a host has of the quarantines. It only ever increases.
type quarantineState int

const (
	// quarantinesAwaited is the state of a starting host. It accepts no calls.
	quarantinesAwaited quarantineState = iota
	// quarantinesMissing is the state of a host that serves although neither the store nor a
	// peer has sent the quarantines.
	quarantinesMissing
	// quarantinesComplete is the state of a host to which the store, or a peer in this state,
	// has sent all quarantines.
	quarantinesComplete
)

// State returns what the host has of the quarantines.
func (syn *quarantineSync) State() quarantineState {
	syn.mu.Lock()
	defer syn.mu.Unlock()
	return syn.state
}

// Advance changes the state to a later one. It returns the state before and its age, and
// false if the host was in the later state already.
func (syn *quarantineSync) Advance(to quarantineState, now time.Time) (before quarantineState, age time.Duration, ok bool) {
	syn.mu.Lock()
	defer syn.mu.Unlock()
	if syn.state >= to {
		return syn.state, 0, false
	}
	before, age = syn.state, now.Sub(syn.stateSince)
	syn.state, syn.stateSince = to, now
	return before, age, true
}

// ShouldPull decides whether to pull the quarantines of a peer whose digest has arrived. Peers
// with the digest of this host may be complete while it is not. A host that serves pulls from
// them at most once in quarantineInterval, since all hosts may lack the quarantines for long.
func (syn *quarantineSync) ShouldPull(sameDigest bool, now time.Time) bool {
	syn.mu.Lock()
	defer syn.mu.Unlock()
	switch {
	case !sameDigest, syn.state == quarantinesAwaited:
	case syn.state == quarantinesComplete, now.Sub(syn.lastPull) < quarantineInterval:
		return false
	}
	syn.lastPull = now
	return true
}

// quarantineReads says when a host that lacks the quarantines reads them from the store. All
// hosts may lack them at the same time, so the pause grows with the number of hosts, and each
// host takes a random share of it. It is an immutable value.
type quarantineReads struct {
	// last is the end of the last read, or the time from which the first one counts.
	last     time.Time
	failures int
	// share is a random number from 0 to 1.
	share float64
}

// WithFailure returns the reads after one that failed.
func (rea quarantineReads) WithFailure(now time.Time, share float64) quarantineReads {
	return quarantineReads{last: now, failures: rea.failures + 1, share: share}
}

// Pause returns the time from the last read to the next one, among a number of live hosts.
func (rea quarantineReads) Pause(hosts int) time.Duration {
	shared := time.Duration(rea.share * float64(hosts) * float64(quarantineReadSpacing))
	if rea.failures == 0 {
		return shared
	}
	growing := quarantineRetry
	for n := 1; n < rea.failures && growing < maxQuarantineRetry; n++ {
		growing *= 2
	}
	return max(shared, min(growing, maxQuarantineRetry))
}

// Due reports whether the next read is due.
func (rea quarantineReads) Due(hosts int, now time.Time) bool {
	return now.Sub(rea.last) >= rea.Pause(hosts)
}
