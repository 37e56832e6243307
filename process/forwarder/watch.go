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
	// waiting watch is a call to the store, and one host's watch confirms the state of
	// hundreds of others.
	watcherCount = 3
	// watchWaitShare, pollShare and staleAgeShare are fractions of propagationLimit: how
	// long one watch waits, how often a host polls a watcher for updates, and the age of
	// a host's state from which it reads the store itself.
	watchWaitShare = 0.35
	pollShare      = 0.15
	staleAgeShare  = 0.65
	// staleJitterShare is the fraction of propagationLimit over which hosts whose state
	// becomes stale at the same time distribute their reads. If a watcher answers in the
	// meantime, the remaining hosts skip the read.
	staleJitterShare = 0.1
	// maxWatchWait, maxPollInterval and maxStaleAge bound the shares above, so that the
	// records of endpoints stay younger than the age from which the registry assumes an
	// outage of the store.
	maxWatchWait    = 800 * time.Millisecond
	maxPollInterval = 600 * time.Millisecond
	maxStaleAge     = 2600 * time.Millisecond
	// memberRefreshPeriod is the time after its start for which a host pulls the list of
	// members again whenever the number of live members has changed, since all hosts may
	// be starting at once.
	memberRefreshPeriod = 4 * time.Second
	// startPeerWait is how long a starting host waits to receive tables and endpoints
	// from a peer before it reads them from the store. Peers answer within some
	// milliseconds, or some tens of milliseconds where processor time is short, and
	// callers are waiting.
	startPeerWait = 150 * time.Millisecond
	// startCheckInterval is the interval at which a starting host checks whether it still
	// has to wait for its peers.
	startCheckInterval = 10 * time.Millisecond
)

// propagationLimit returns the time within which changes have to be in force on all
// hosts.
func (fwd *Forwarder) propagationLimit() time.Duration {
	return min(fwd.Settings.ApplyWithin, fwd.Settings.LeaveWithin)
}

// shareOfLimit returns a fraction of propagationLimit.
func (fwd *Forwarder) shareOfLimit(share float64) time.Duration {
	return time.Duration(share * float64(fwd.propagationLimit()))
}

func (fwd *Forwarder) watchWait() time.Duration {
	return min(maxWatchWait, fwd.shareOfLimit(watchWaitShare))
}

func (fwd *Forwarder) pollInterval() time.Duration {
	return min(maxPollInterval, fwd.shareOfLimit(pollShare))
}

// staleAge returns the age from which the host's state is stale. It differs between
// hosts by up to staleJitterShare.
func (fwd *Forwarder) staleAge() time.Duration {
	fraction := float64(xxhash.Sum64String(fwd.Settings.HostID)) / math.MaxUint64
	return min(maxStaleAge, fwd.shareOfLimit(staleAgeShare)) + fwd.shareOfLimit(staleJitterShare*fraction)
}

// watcherCache holds the results of watchers for one count of membership changes and one
// value of draining.
type watcherCache struct {
	mu sync.Mutex
	// valid reports whether the fields below have been set.
	valid             bool
	membershipChanges uint64
	draining          bool
	peers             []gossiper.Peer
	self              bool
}

// watchers returns the other hosts of the region that watch the store, chosen from those
// with enough processor time. self reports whether this host watches it, too; a draining
// host does not.
func (fwd *Forwarder) watchers(now time.Time) (peers []gossiper.Peer, self bool) {
	wat := &fwd.watcherCache
	wat.mu.Lock()
	defer wat.mu.Unlock()
	changes, draining := fwd.gossiper.Changes(), fwd.draining.Load()
	if !wat.valid || wat.membershipChanges != changes || wat.draining != draining {
		wat.valid, wat.membershipChanges, wat.draining = true, changes, draining
		wat.peers, wat.self = fwd.chooseWatchers(fwd.gossiper.Live(now), draining)
	}
	return wat.peers, wat.self
}

func (fwd *Forwarder) chooseWatchers(live []gossiper.Peer, draining bool) (peers []gossiper.Peer, self bool) {
	own := gossiper.Peer{ID: fwd.Settings.HostID, CapacityMilli: capacityMilli(fwd.Settings)}
	all := make([]gossiper.Peer, 0, len(live)+1)
	if !draining {
		all = append(all, own)
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
	for _, i := range publisher.Watchers(ids, watcherCount) {
		if all[i].ID == own.ID {
			self = true
			continue
		}
		peers = append(peers, all[i])
	}
	return peers, self
}

// shouldReadStore reports whether this host has to read the store: it is one of the
// watchers of its region, or no peer has confirmed its state recently.
func (fwd *Forwarder) shouldReadStore(now time.Time) bool {
	if !fwd.confirmedRecently(now) {
		return true
	}
	_, self := fwd.watchers(now)
	return self
}

// confirmedRecently reports whether the host's state was recently confirmed to be the
// store's newest, directly or through a peer. The confirmation that the store holds no
// tables counts, too.
func (fwd *Forwarder) confirmedRecently(now time.Time) bool {
	return fwd.registry.HasEndpoints() && fwd.sinceConfirmed(now) <= fwd.staleAge()
}

// sinceConfirmed returns the time since both the tables and the endpoints were last
// confirmed, that is, the greater of both ages. It includes the time for which the host
// was suspended.
func (fwd *Forwarder) sinceConfirmed(now time.Time) time.Duration {
	return max(fwd.detector.Age(fwd.publisher.Confirmed(), now), fwd.detector.Age(fwd.registry.Confirmed(), now))
}

// suspendedTime returns the total time for which the host was suspended.
func (fwd *Forwarder) suspendedTime(now time.Time) time.Duration {
	suspended, _ := fwd.detector.Suspensions(now)
	return suspended
}

// staleSinceResume reports whether the host was suspended and its state has not been
// confirmed since it resumed.
func (fwd *Forwarder) staleSinceResume(now time.Time) bool {
	suspended, resumed := fwd.detector.Suspensions(now)
	return suspended > 0 && (!fwd.registry.Confirmed().After(resumed) || !fwd.publisher.Confirmed().After(resumed))
}

// waitsForPeers reports whether a starting host still waits for its peers' state instead
// of reading the store. Watchers wait startPeerWait, all other hosts up to the setting
// StartWait if that is longer.
func (fwd *Forwarder) waitsForPeers(now time.Time) bool {
	uptime := now.Sub(fwd.started)
	switch {
	case fwd.confirmedRecently(now):
		return false
	case uptime < startPeerWait:
		return true
	case uptime >= fwd.Settings.StartWait:
		return false
	default:
		_, self := fwd.watchers(now)
		return !self
	}
}

// followStore waits for the state of peers, and then follows the store until ctx ends.
func (fwd *Forwarder) followStore(ctx context.Context) {
	tic := time.NewTicker(startCheckInterval)
	defer tic.Stop()
	for fwd.waitsForPeers(time.Now()) {
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
	tic.Stop()
	var gro sync.WaitGroup
	gro.Go(func() { fwd.followQuarantines(ctx) })
	fwd.follower.Run(ctx)
	gro.Wait()
}

// pollWatchers polls the watchers in turn for updates until ctx ends. After the host's
// start it also pulls the list of members.
func (fwd *Forwarder) pollWatchers(ctx context.Context) {
	tic := time.NewTicker(fwd.pollInterval())
	defer tic.Stop()
	turn := rand.IntN(watcherCount)
	lastLive := -1
	for {
		now := time.Now()
		// A list of hundreds of members is large, so it is pulled only after the number
		// of live members has changed.
		if live := len(fwd.gossiper.Live(now)); now.Sub(fwd.started) < memberRefreshPeriod && live != lastLive {
			lastLive = live
			go fwd.gossiper.Sync(ctx)
		}
		// A watcher whose reads of the store fail polls the other watchers, too.
		if pers, self := fwd.watchers(now); len(pers) > 0 && (!self || fwd.storeUnavailable.Load()) {
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
