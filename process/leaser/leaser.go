// Package leaser acquires exclusive leases with fencing numbers through conditional
// writes of the platform's object API.
//
// A lease object is never deleted, so its fencing number only grows. The object
// contains no times: a host that wants a lease held by another waits until it has seen
// the same version for Term and Margin by its own clock, and a holder counts the term
// from the time just before it sends its write. The clocks of hosts need not agree.
//
// A lease does not stop a holder that is paused after it has checked the time and
// before it acts. So the receiver of an action must itself refuse an action that
// arrives after the lease ended, by the fencing number or by another condition, if that
// action must not happen.
package leaser

import "time"

const (
	// Term is how long a lease is held without renewal.
	Term = 4 * time.Second
	// Margin is how long beyond the term a host waits before it acquires a lease that
	// another holds. It covers the time that an action of the old holder may take to
	// arrive.
	Margin = 2 * time.Second
)

// Lease is the value of a lease object. It is an immutable value.
type Lease struct {
	// Fence is the fencing number. It grows by one with each acquisition.
	Fence uint64
	// Nonce identifies the acquisition; it is empty if the lease was released.
	Nonce string
	Host  string
	// Renewal counts the renewals of the acquisition, so that each write differs from
	// the last one.
	Renewal uint64
}

// State is one host's state of acquiring, holding and releasing a lease. It is an
// immutable value.
type State struct {
	Host  string
	Nonce string

	lease   Lease
	version uint64
	loaded  bool
	// versionSeen is when the version was first seen.
	versionSeen time.Time
	// writeSent is when the last write was sent, and written the lease in it.
	writeSent time.Time
	written   Lease
	// until is the end of the term as of the last Held; it is zero before the first.
	until time.Time
}

// Event is an event of an acquisition: AcquireRequested, Loaded, LoadFailed, Stored,
// Conflicted, WriteUnknown or ReleaseRequested.
type Event interface{ event() }

// AcquireRequested requests the lease, or the renewal of a held lease.
type AcquireRequested struct{}

// Loaded reports the object that was read; version 0 stands for an absent object.
type Loaded struct {
	Lease   Lease
	Version uint64
}

// LoadFailed reports a read that failed. Next does not use Message.
type LoadFailed struct{ Message string }

// Stored reports a write that took effect.
type Stored struct{ Version uint64 }

// Conflicted reports a write that had no effect because the object has another version.
type Conflicted struct{}

// WriteUnknown reports a write of which it is not known whether it took effect. Next
// does not use Message.
type WriteUnknown struct{ Message string }

// ReleaseRequested requests that the lease be released.
type ReleaseRequested struct{}

func (AcquireRequested) event() {}
func (Loaded) event()           {}
func (LoadFailed) event()       {}
func (Stored) event()           {}
func (Conflicted) event()       {}
func (WriteUnknown) event()     {}
func (ReleaseRequested) event() {}

// Action is what to do next: Load or Store, or the end of the event's handling: Held or
// Done.
type Action interface{ action() }

// Load reads the object, not before At.
type Load struct{ At time.Time }

// Store writes the lease on condition that the object has the version.
type Store struct {
	Lease   Lease
	Version uint64
}

// Held reports that the lease is held until Until.
type Held struct {
	Fence uint64
	Until time.Time
}

// Done reports that nothing remains to be done.
type Done struct{}

func (Load) action()  {}
func (Store) action() {}
func (Held) action()  {}
func (Done) action()  {}

const (
	// pollInterval is the time between two reads of a lease that another host holds.
	pollInterval = 250 * time.Millisecond
	// retryDelay is the delay after a failed read or a write with unknown effect.
	retryDelay = 100 * time.Millisecond
)

// Next returns the state after an event and the next action.
func (sta State) Next(eve Event, now time.Time) (State, Action) {
	switch eve := eve.(type) {
	case AcquireRequested:
		return sta.acquire(now)
	case Loaded:
		return sta.withLease(eve.Lease, eve.Version, now).acquire(now)
	case Stored:
		sta = sta.withLease(sta.written, eve.Version, now)
		return sta.hold()
	case Conflicted:
		sta.loaded = false
		return sta, Load{now}
	case LoadFailed:
		return sta, Load{now.Add(retryDelay)}
	case WriteUnknown:
		sta.loaded = false
		return sta, Load{now.Add(retryDelay)}
	case ReleaseRequested:
		return sta.release()
	default:
		return sta, Done{}
	}
}

// withLease returns the state after the object was read or written.
func (sta State) withLease(lea Lease, version uint64, now time.Time) State {
	if version != sta.version || sta.versionSeen.IsZero() {
		sta.versionSeen = now
	}
	sta.lease, sta.version, sta.loaded = lea, version, true
	return sta
}

func (sta State) acquire(now time.Time) (State, Action) {
	switch {
	case !sta.loaded:
		return sta, Load{now}
	case sta.lease.Nonce == sta.Nonce && sta.lease == sta.written:
		// The last write took effect, so the lease is held unless its term has passed.
		return sta.keepOrRenew(now)
	case sta.lease.Nonce == sta.Nonce:
		// The object holds an older write of this host, whose sending time is not known
		// any more. The lease is acquired anew, so that the start of its term is known.
		return sta.storeLease(Lease{Fence: sta.lease.Fence + 1, Nonce: sta.Nonce, Host: sta.Host}, now)
	case sta.lease.Nonce == "" || !now.Before(sta.versionSeen.Add(Term+Margin)):
		// The lease was released, or its object has not changed for Term and Margin.
		return sta.storeLease(Lease{Fence: sta.lease.Fence + 1, Nonce: sta.Nonce, Host: sta.Host}, now)
	default:
		return sta, Load{now.Add(pollInterval)}
	}
}

// keepOrRenew holds the lease without a write during the first half of its term, renews
// it during the second half, and acquires it again with a new fencing number after its
// end.
func (sta State) keepOrRenew(now time.Time) (State, Action) {
	end := sta.writeSent.Add(Term)
	switch {
	case now.Before(sta.writeSent.Add(Term / 2)):
		return sta.hold()
	case now.Before(end):
		renewed := sta.lease
		renewed.Renewal++
		return sta.storeLease(renewed, now)
	default:
		return sta.storeLease(Lease{Fence: sta.lease.Fence + 1, Nonce: sta.Nonce, Host: sta.Host}, now)
	}
}

func (sta State) storeLease(lea Lease, now time.Time) (State, Action) {
	sta.written = lea
	sta.writeSent = now
	return sta, Store{Lease: lea, Version: sta.version}
}

func (sta State) hold() (State, Action) {
	sta.until = sta.writeSent.Add(Term)
	return sta, Held{Fence: sta.lease.Fence, Until: sta.until}
}

// release releases the lease if the object, as last read or written, has the nonce of
// this State.
func (sta State) release() (State, Action) {
	if !sta.loaded || sta.lease.Nonce != sta.Nonce {
		return sta, Done{}
	}
	sta.loaded = false
	return sta, Store{Lease: Lease{Fence: sta.lease.Fence}, Version: sta.version}
}
