package forwarder

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockpin/process/gossiper"
	"hemlockpin/process/publisher"

	"github.com/cespare/xxhash/v2"
)

const (
	// watcherCount is the number of hosts of a region that watch the store. Each
	// waiting watch is a call to the store, and one host confirms the knowledge of
	// hundreds of others.
	watcherCount = 3
	// watchShare, askShare and staleShare are parts of the time within which changes
	// have to be in force everywhere: how long one watch waits, how often a host asks
	// a watcher for what is new, and the age from which a host reads the store itself.
	watchShare = 0.35
	askShare   = 0.15
	staleShare = 0.65
	// spreadShare is the part of that time over which hosts whose knowledge has become
	// stale at once spread their reads: the first ones may find that a watcher answers
	// again.
	spreadShare = 0.1
	// maxWatch, maxAsk and maxStale keep the knowledge of endpoints younger than the
	// age that the registry takes for an outage of the store.
	maxWatch = 800 * time.Millisecond
	maxAsk   = 600 * time.Millisecond
	maxStale = 2600 * time.Millisecond
	// startPeriod is how long a host asks for the members after its start as long as it
	// learns of more, as all hosts may be starting.
	startPeriod = 4 * time.Second
	// peerWait is how long any host that starts waits for a peer to tell it the tables
	// and the endpoints before it reads them from the store. Peers answer within some
	// milliseconds, or some dozens where processor time is short, and callers are
	// waiting.
	peerWait = 150 * time.Millisecond
	// startInterval is how often a host that starts looks whether it knows enough.
	startInterval = 10 * time.Millisecond
)

// within is the time within which changes have to be in force on all hosts.
func (fwd *Forwarder) within() time.Duration {
	return min(fwd.Settings.ApplyWithin, fwd.Settings.LeaveWithin)
}

// share is a part of the time within which changes have to be in force.
func (fwd *Forwarder) share(sha float64) time.Duration {
	return time.Duration(sha * float64(fwd.within()))
}

func (fwd *Forwarder) watchWait() time.Duration { return min(maxWatch, fwd.share(watchShare)) }

func (fwd *Forwarder) askInterval() time.Duration { return min(maxAsk, fwd.share(askShare)) }

// staleAge differs between hosts by up to spreadShare.
func (fwd *Forwarder) staleAge() time.Duration {
	pla := float64(xxhash.Sum64String(fwd.Settings.HostID)) / math.MaxUint64
	return min(maxStale, fwd.share(staleShare)) + fwd.share(spreadShare*pla)
}

// watchers are the hosts of the region that watch the store, as they follow from the
// membership at a number of its changes.
type watchers struct {
	mu       sync.Mutex
	known    bool
	changes  uint64
	draining bool
	peers    []gossiper.Peer
	self     bool
}

// watchers returns the hosts of the region that watch the store: some of those with
// much processor time. self says that this host is one of them, which one that drains
// is not.
func (fwd *Forwarder) watchers(now time.Time) (peers []gossiper.Peer, self bool) {
	wat := &fwd.watching
	wat.mu.Lock()
	defer wat.mu.Unlock()
	num, dra := fwd.gossiper.Changes(), fwd.draining.Load()
	if !wat.known || wat.changes != num || wat.draining != dra {
		wat.known, wat.changes, wat.draining = true, num, dra
		wat.peers, wat.self = fwd.chooseWatchers(fwd.gossiper.Live(now), dra)
	}
	return wat.peers, wat.self
}

func (fwd *Forwarder) chooseWatchers(live []gossiper.Peer, draining bool) (peers []gossiper.Peer, self bool) {
	sel := gossiper.Peer{ID: fwd.Settings.HostID, CapacityMilli: capacityMilli(fwd.Settings)}
	all := make([]gossiper.Peer, 0, len(live)+1)
	if !draining {
		all = append(all, sel)
	}
	for _, per := range live {
		if per.Region == fwd.Settings.Region {
			all = append(all, per)
		}
	}
	all = gossiper.WithEnoughCapacity(all)
	ids := make([]string, 0, len(all))
	for _, per := range all {
		ids = append(ids, per.ID)
	}
	for _, ind := range publisher.Watchers(ids, watcherCount) {
		if all[ind].ID == sel.ID {
			self = true
			continue
		}
		peers = append(peers, all[ind])
	}
	return peers, self
}

// duty reports whether this host is to read the store: as one of the watchers of
// its region, or since nobody has confirmed its knowledge lately.
func (fwd *Forwarder) duty(now time.Time) bool {
	if !fwd.fresh(now) {
		return true
	}
	_, self := fwd.watchers(now)
	return self
}

// fresh reports whether the store has confirmed the host's knowledge lately. That may
// be that it holds no tables yet.
func (fwd *Forwarder) fresh(now time.Time) bool {
	_, known := fwd.registry.Revision()
	return known && fwd.age(now) <= fwd.staleAge()
}

// age is how long ago the store confirmed the host's knowledge, with the time for which
// the host was suspended since.
func (fwd *Forwarder) age(now time.Time) time.Duration {
	return max(fwd.detector.Aged(fwd.publisher.Confirmed(), now), fwd.detector.Aged(fwd.registry.Confirmed(), now))
}

// slept is the time for which the host was suspended in all.
func (fwd *Forwarder) slept(now time.Time) time.Duration {
	sle, _ := fwd.detector.Look(now)
	return sle
}

// staleSinceWake reports whether the host was suspended and has not learned since what
// has changed meanwhile.
func (fwd *Forwarder) staleSinceWake(now time.Time) bool {
	sle, wok := fwd.detector.Look(now)
	return sle > 0 && (!fwd.registry.Confirmed().After(wok) || !fwd.publisher.Confirmed().After(wok))
}

// patient reports whether a host that starts leaves the store alone for now.
func (fwd *Forwarder) patient(now time.Time) bool {
	up := now.Sub(fwd.started)
	switch {
	case fwd.fresh(now):
		return false
	case up < peerWait:
		return true
	case up >= fwd.Settings.StartWait:
		return false
	default:
		_, self := fwd.watchers(now)
		return !self
	}
}

// follow waits for what peers know, and then follows the store until ctx ends.
func (fwd *Forwarder) follow(ctx context.Context) {
	tic := time.NewTicker(startInterval)
	defer tic.Stop()
	for fwd.patient(time.Now()) {
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
	tic.Stop()
	fwd.follower.Run(ctx)
}

// askWatchers asks the watchers in turn for what is new, until ctx ends.
func (fwd *Forwarder) askWatchers(ctx context.Context) {
	tic := time.NewTicker(fwd.askInterval())
	defer tic.Stop()
	turn := rand.IntN(watcherCount)
	known := -1
	for {
		now := time.Now()
		// A list of hundreds of members is worth its bytes only while it grows.
		if num := len(fwd.gossiper.Live(now)); now.Sub(fwd.started) < startPeriod && num != known {
			known = num
			go fwd.gossiper.Sync(ctx)
		}
		// A watcher that the store turns away learns from the others.
		if pers, self := fwd.watchers(now); len(pers) > 0 && (!self || fwd.storeAway.Load()) {
			go fwd.gossiper.ProbeNow(ctx, pers[turn%len(pers)])
			turn++
		}
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}
