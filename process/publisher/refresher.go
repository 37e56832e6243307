package publisher

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
)

const (
	// WatchersPerRegion is the number of hosts of a region that watch the store.
	WatchersPerRegion = 2

	// watchWait is how long the store may hold a watch call open.
	watchWait = 2 * time.Second
	// watchGrace is added to the wait of a watch call to give its timeout.
	watchGrace = 2 * time.Second
	// watcherCheckInterval is how often a pausing host checks whether it is now a watcher.
	watcherCheckInterval = 500 * time.Millisecond
	// pollInterval is the mean time between the reads of a host that does not watch
	// the store.
	pollInterval = 40 * time.Second
	// initialPollInterval is the time between the reads of a host that does not watch the
	// store and has no tables yet.
	initialPollInterval = time.Second
	retryInitial        = 200 * time.Millisecond
	retryMax            = 2 * time.Second
	refreshTimeout      = 2 * time.Second
)

// Watches reports whether a host is one of the num hosts of its region that
// watch the store. hosts are the live hosts of the region, with or without self.
func Watches(self string, hosts []string, num int) bool {
	all := append(slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return host == self }), self)
	return slices.Contains(Watchers(all, num), len(all)-1)
}

// Watchers returns the indices of the num hosts that watch the store, chosen from hosts
// by rendezvous hashing.
func Watchers(hosts []string, num int) []int {
	type ranked struct {
		score uint64
		index int
	}
	var best []ranked
	for i, host := range hosts {
		candidate := ranked{xxhash.Sum64String(TablesPath + "\x00" + host), i}
		at, _ := slices.BinarySearchFunc(best, candidate, func(old, new ranked) int {
			return cmp.Or(cmp.Compare(new.score, old.score), cmp.Compare(hosts[old.index], hosts[new.index]))
		})
		if at < num {
			best = slices.Insert(best, at, candidate)[:min(num, len(best)+1)]
		}
	}
	out := make([]int, 0, len(best))
	for _, candidate := range best {
		out = append(out, candidate.index)
	}
	return out
}

// Refresher keeps a publisher's tables up to date with the store.
type Refresher struct {
	Publisher *Publisher
	Self      string
	// LiveHosts returns the IDs of the live hosts of the region.
	LiveHosts func() []string
	// OnError is called for each failed read of the store; nil for none.
	OnError func(error)
}

// Run reads the store until ctx ends.
func (ref *Refresher) Run(ctx context.Context) {
	bac := &backoff.ExponentialBackOff{InitialInterval: retryInitial, MaxInterval: retryMax, Multiplier: 2, RandomizationFactor: 0.5}
	bac.Reset()
	for ctx.Err() == nil {
		watching := ref.Watches()
		err := ref.read(ctx, watching)
		switch {
		case err != nil:
			if ref.OnError != nil && ctx.Err() == nil {
				ref.OnError(err)
			}
			ref.pause(ctx, bac.NextBackOff(), watching)
		case !watching:
			bac.Reset()
			ref.pause(ctx, ref.pollWait(), false)
		default:
			bac.Reset()
		}
	}
}

// Watches reports whether this host is currently one of its region's watchers.
func (ref *Refresher) Watches() bool {
	return Watches(ref.Self, slices.Clone(ref.LiveHosts()), WatchersPerRegion)
}

func (ref *Refresher) pollWait() time.Duration {
	if ref.Publisher.Current().Revision() == 0 {
		return initialPollInterval
	}
	return pollInterval/2 + rand.N(pollInterval)
}

// pause waits, but returns early if the host becomes a watcher.
func (ref *Refresher) pause(ctx context.Context, wait time.Duration, watching bool) {
	deadline := time.Now().Add(wait)
	for time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(min(watcherCheckInterval, time.Until(deadline))):
		}
		if !watching && ref.Watches() {
			return
		}
	}
}

// read reads the tables if this host has seen no version of them yet. If it has seen one, or
// if a watcher finds no tables, read uses the store's Watch: a watcher waits there for a
// newer version, and any other host polls with a wait of 0.
func (ref *Refresher) read(ctx context.Context, watching bool) error {
	pub := ref.Publisher
	wait := time.Duration(0)
	if watching {
		wait = watchWait
	}
	if pub.lastSeenVersion().version == 0 {
		readCtx, stop := context.WithTimeout(ctx, refreshTimeout)
		defer stop()
		err := pub.Refresh(readCtx, time.Now())
		if err != nil || pub.lastSeenVersion().version > 0 || !watching {
			return err
		}
	}
	return ref.watch(ctx, wait)
}

// watch waits for a newer version of the object than the last recorded one.
func (ref *Refresher) watch(ctx context.Context, wait time.Duration) error {
	pub := ref.Publisher
	watchCtx, stop := context.WithTimeout(ctx, wait+watchGrace)
	defer stop()
	start := time.Now()
	seen := pub.lastSeenVersion()
	objs, err := pub.Store.Watch(watchCtx, TablesPath, seen.version, wait)
	if err != nil {
		return err
	}
	for _, obj := range objs {
		if obj.Path == TablesPath {
			return pub.adoptObject(obj, time.Now())
		}
	}
	pub.ConfirmRevision(seen.revision, start)
	return nil
}
