package forwarder

import (
	"context"
	"math/rand/v2"
	"time"

	"hemlockpin/process/gossiper"
	"hemlockpin/process/publisher"
)

const (
	// leastWatchers is the number of hosts of a region that watch the store, and
	// hostsPerWatcher the number of hosts that ask one of them.
	leastWatchers   = 3
	hostsPerWatcher = 40
	// askInterval is how often a host asks a watcher for what is new.
	askInterval = 300 * time.Millisecond
	// startPeriod is how long a host asks for the members often after its start, as
	// all hosts may be starting.
	startPeriod = 4 * time.Second
	// staleAge is the age from which a host reads the store itself. With one read
	// it stays under the 2 s within which changes have to be in force; a watcher
	// confirms every 0.7 s.
	staleAge = 1300 * time.Millisecond
)

// watchers returns the number of hosts of the region that watch the store.
func (fwd *Forwarder) watchers(hosts int) int {
	return max(leastWatchers, hosts/hostsPerWatcher)
}

// regionPeers returns the live peers of the own region and their names.
func (fwd *Forwarder) regionPeers(now time.Time) (pers []gossiper.Peer, ids []string) {
	for _, per := range fwd.gossiper.Live(now) {
		if per.Region == fwd.Settings.Region {
			pers = append(pers, per)
			ids = append(ids, per.ID)
		}
	}
	return pers, ids
}

// duty reports whether this host is to read the store: as one of the watchers of
// its region, or since nobody has confirmed its knowledge lately.
func (fwd *Forwarder) duty(now time.Time) bool {
	_, known := fwd.registry.Revision()
	rev, age := fwd.publisher.Freshness(now)
	if !known || rev == 0 || age > staleAge || fwd.registry.Age(now) > staleAge {
		return true
	}
	return fwd.watches(now)
}

func (fwd *Forwarder) watches(now time.Time) bool {
	_, ids := fwd.regionPeers(now)
	return !fwd.draining.Load() && publisher.Watches(fwd.Settings.HostID, ids, fwd.watchers(len(ids)+1))
}

// askWatchers asks the watchers in turn for what is new, until ctx ends.
func (fwd *Forwarder) askWatchers(ctx context.Context) {
	tic := time.NewTicker(askInterval)
	defer tic.Stop()
	turn := rand.IntN(leastWatchers)
	beg := time.Now()
	for {
		now := time.Now()
		if now.Sub(beg) < startPeriod {
			go fwd.gossiper.Refresh(ctx)
		}
		if !fwd.watches(now) {
			if per, ok := fwd.watcher(turn, now); ok {
				go fwd.gossiper.Ask(ctx, per)
			}
			turn++
		}
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

// watcher returns one of the peers that watch the store, by turns.
func (fwd *Forwarder) watcher(turn int, now time.Time) (gossiper.Peer, bool) {
	pers, ids := fwd.regionPeers(now)
	num := fwd.watchers(len(ids) + 1)
	var wats []gossiper.Peer
	for _, per := range pers {
		if publisher.Watches(per.ID, ids, num) {
			wats = append(wats, per)
		}
	}
	if len(wats) == 0 {
		return gossiper.Peer{}, false
	}
	return wats[turn%len(wats)], true
}
