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

	watchWait    = 2 * time.Second
	watchGrace   = 2 * time.Second
	dutyInterval = 500 * time.Millisecond
	// pollInterval is the mean time between the reads of a host that does not
	// watch.
	pollInterval    = 40 * time.Second
	firstInterval   = time.Second
	retryFirst      = 200 * time.Millisecond
	retryMax        = 2 * time.Second
	refreshDeadline = 2 * time.Second
)

// Watches reports whether a host is one of the num hosts of its region that
// watch the store. hosts are the live ones of the region, with or without self.
func Watches(self string, hosts []string, num int) bool {
	all := append(slices.DeleteFunc(slices.Clone(hosts), func(hos string) bool { return hos == self }), self)
	return slices.Contains(Watchers(all, num), len(all)-1)
}

// Watchers returns the places of the num hosts that watch the store, of those that
// could.
func Watchers(hosts []string, num int) []int {
	type place struct {
		score uint64
		index int
	}
	var fir []place
	for ind, hos := range hosts {
		one := place{xxhash.Sum64String(TablesPath + "\x00" + hos), ind}
		at, _ := slices.BinarySearchFunc(fir, one, func(old, new place) int {
			return cmp.Or(cmp.Compare(new.score, old.score), cmp.Compare(hosts[old.index], hosts[new.index]))
		})
		if at < num {
			fir = slices.Insert(fir, at, one)[:min(num, len(fir)+1)]
		}
	}
	out := make([]int, 0, len(fir))
	for _, one := range fir {
		out = append(out, one.index)
	}
	return out
}

// Refresher keeps a publisher up to date with the store.
type Refresher struct {
	Publisher *Publisher
	Self      string
	// Region returns the IDs of the live hosts of the region.
	Region func() []string
	// OnError is told of each read of the store that failed; nil for nobody.
	OnError func(error)
}

// Run reads the store until ctx ends.
func (ref *Refresher) Run(ctx context.Context) {
	bac := &backoff.ExponentialBackOff{InitialInterval: retryFirst, MaxInterval: retryMax, Multiplier: 2, RandomizationFactor: 0.5}
	bac.Reset()
	for ctx.Err() == nil {
		wat := ref.Watches()
		err := ref.read(ctx, wat)
		switch {
		case err != nil:
			if ref.OnError != nil && ctx.Err() == nil {
				ref.OnError(err)
			}
			ref.pause(ctx, bac.NextBackOff(), wat)
		case !wat:
			bac.Reset()
			ref.pause(ctx, ref.pollWait(), false)
		default:
			bac.Reset()
		}
	}
}

// Watches reports whether this host has the duty to watch the store now.
func (ref *Refresher) Watches() bool {
	return Watches(ref.Self, slices.Clone(ref.Region()), WatchersPerRegion)
}

func (ref *Refresher) pollWait() time.Duration {
	if ref.Publisher.Current().Revision() == 0 {
		return firstInterval
	}
	return pollInterval/2 + rand.N(pollInterval)
}

// pause waits, but no longer than until the host gets the duty to watch.
func (ref *Refresher) pause(ctx context.Context, dur time.Duration, watched bool) {
	end := time.Now().Add(dur)
	for time.Now().Before(end) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(min(dutyInterval, time.Until(end))):
		}
		if !watched && ref.Watches() {
			return
		}
	}
}

func (ref *Refresher) read(ctx context.Context, wat bool) error {
	pub := ref.Publisher
	wait := time.Duration(0)
	if wat {
		wait = watchWait
	}
	if pub.lastSeen().version == 0 {
		one, stop := context.WithTimeout(ctx, refreshDeadline)
		defer stop()
		err := pub.Refresh(one, time.Now())
		if err != nil || pub.lastSeen().version > 0 || !wat {
			return err
		}
	}
	return ref.watch(ctx, wait)
}

// watch waits for a version of the object after the last one seen.
func (ref *Refresher) watch(ctx context.Context, wait time.Duration) error {
	pub := ref.Publisher
	one, stop := context.WithTimeout(ctx, wait+watchGrace)
	defer stop()
	beg := time.Now()
	see := pub.lastSeen()
	objs, err := pub.Store.Watch(one, TablesPath, see.version, wait)
	if err != nil {
		return err
	}
	for _, obj := range objs {
		if obj.Path == TablesPath {
			return pub.take(obj, time.Now())
		}
	}
	pub.ConfirmRevision(see.revision, beg)
	return nil
}
