// Package leaser grants exclusive leases with fencing numbers through
// conditional writes of the platform's object API.
//
// A lease object is never deleted, so its fencing number only grows. The object
// holds no times: a host that wants a lease held by another waits until it has
// seen the same version for the whole term and a margin by its own clock, and a
// holder counts its term from before its write was sent. Clocks need not agree.
//
// A lease does not stop a holder that is paused between its last look at the
// clock and its action. What must not happen then has to be refused by whoever
// receives the action, by the fencing number or by another condition.
package leaser

import "time"

const (
	// Term is how long a lease is held without renewal.
	Term = 4 * time.Second
	// Margin is what a taker waits beyond the term. It covers the time that an
	// action of the old holder may take to arrive.
	Margin = 2 * time.Second
)

// Lease is the value of a lease object. It is an immutable value.
type Lease struct {
	// Fence grows by one with each acquisition.
	Fence uint64
	// Nonce names the acquisition; it is empty when the lease was given back.
	Nonce string
	Host  string
	// Renewal counts the renewals of the acquisition.
	Renewal uint64
}

// State is what one acquirer knows of a lease. It is an immutable value.
type State struct {
	Host  string
	Nonce string

	lease   Lease
	version uint64
	loaded  bool
	// since is when the version was first seen.
	since time.Time
	// sent is when the write under way was sent, and next its lease.
	sent time.Time
	next Lease
	// until is when the held lease ends; zero if it is not held.
	until time.Time
}

// Event is a step of an acquisition: Wanted, Loaded, LoadFailed, Stored,
// Conflicted, Lost or Released.
type Event interface{ event() }

// Wanted asks for the lease, or for a longer time of a held one.
type AcquireRequested struct{}

// Loaded reports the object; version 0 stands for an absent one.
type Loaded struct {
	Lease   Lease
	Version uint64
}

// LoadFailed reports a read without result.
type LoadFailed struct{ Message string }

// Stored reports a write that took effect.
type Stored struct{ Version uint64 }

// Conflicted reports a write that certainly had no effect.
type Conflicted struct{}

// Lost reports a write of which it is unknown whether it took effect.
type WriteUnknown struct{ Message string }

// Released gives the lease back.
type ReleaseRequested struct{}

func (AcquireRequested) event() {}
func (Loaded) event()           {}
func (LoadFailed) event()       {}
func (Stored) event()           {}
func (Conflicted) event()       {}
func (WriteUnknown) event()     {}
func (ReleaseRequested) event() {}

// Action is what to do next: Load, Store, Hold or Stop.
type Action interface{ action() }

// Load reads the object at At or later.
type Load struct{ At time.Time }

// Store writes the lease on the condition of the version.
type Store struct {
	Lease   Lease
	Version uint64
}

// Hold says that the lease is held until Until.
type Hold struct {
	Fence uint64
	Until time.Time
}

// Stop says that nothing remains to be done.
type Stop struct{}

func (Load) action()  {}
func (Store) action() {}
func (Hold) action()  {}
func (Stop) action()  {}

const (
	// pollPause is how often a lease held by another is looked at.
	pollPause = 250 * time.Millisecond
	failPause = 100 * time.Millisecond
)

// Next decides on an event.
func (sta State) Next(eve Event, now time.Time) (State, Action) {
	switch eve := eve.(type) {
	case AcquireRequested:
		return sta.wanted(now)
	case Loaded:
		return sta.withLease(eve.Lease, eve.Version, now).wanted(now)
	case Stored:
		sta = sta.withLease(sta.next, eve.Version, now)
		return sta.held()
	case Conflicted:
		sta.loaded = false
		return sta, Load{now}
	case LoadFailed:
		return sta, Load{now.Add(failPause)}
	case WriteUnknown:
		sta.loaded = false
		return sta, Load{now.Add(failPause)}
	case ReleaseRequested:
		return sta.released()
	default:
		return sta, Stop{}
	}
}

// withLease notes what the object holds.
func (sta State) withLease(lea Lease, version uint64, now time.Time) State {
	if version != sta.version || sta.since.IsZero() {
		sta.since = now
	}
	sta.lease, sta.version, sta.loaded = lea, version, true
	return sta
}

func (sta State) wanted(now time.Time) (State, Action) {
	switch {
	case !sta.loaded:
		return sta, Load{now}
	case sta.lease.Nonce == sta.Nonce && sta.lease == sta.next:
		// A write without an answer took effect, or the lease is held already.
		return sta.renewed(now)
	case sta.lease.Nonce == sta.Nonce:
		// An older write of this acquirer is in force; its time is not known.
		return sta.store(Lease{Fence: sta.lease.Fence + 1, Nonce: sta.Nonce, Host: sta.Host}, now)
	case sta.lease.Nonce == "" || !now.Before(sta.since.Add(Term+Margin)):
		return sta.store(Lease{Fence: sta.lease.Fence + 1, Nonce: sta.Nonce, Host: sta.Host}, now)
	default:
		return sta, Load{now.Add(pollPause)}
	}
}

// renewed holds the lease on while half of its term is left, renews it before
// its end, and acquires it anew after that, under another fencing number.
func (sta State) renewed(now time.Time) (State, Action) {
	end := sta.sent.Add(Term)
	switch {
	case now.Before(sta.sent.Add(Term / 2)):
		return sta.held()
	case now.Before(end):
		nex := sta.lease
		nex.Renewal++
		return sta.store(nex, now)
	default:
		return sta.store(Lease{Fence: sta.lease.Fence + 1, Nonce: sta.Nonce, Host: sta.Host}, now)
	}
}

func (sta State) store(lea Lease, now time.Time) (State, Action) {
	sta.next = lea
	sta.sent = now
	return sta, Store{Lease: lea, Version: sta.version}
}

func (sta State) held() (State, Action) {
	sta.until = sta.sent.Add(Term)
	return sta, Hold{Fence: sta.lease.Fence, Until: sta.until}
}

// released gives the lease back if it is still as this acquirer wrote it.
func (sta State) released() (State, Action) {
	if !sta.loaded || sta.lease.Nonce != sta.Nonce {
		return sta, Stop{}
	}
	sta.loaded = false
	return sta, Store{Lease: Lease{Fence: sta.lease.Fence}, Version: sta.version}
}
