// Package watcher keeps a host's view of the endpoints: which ones are listed, which
// ones are leaving, and each engine's last load report.
package watcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/request/placer"
	"hemlockpin/version/parser"
)

// readTimeout bounds one read of the list or of a load report.
const readTimeout = time.Second

// Lister reads the platform's list.
type Lister interface {
	Entries(ctx context.Context) ([]persister.Entry, error)
}

// Loader reads an engine's load report.
type Loader interface {
	Load(ctx context.Context, address string) (invoker.Load, error)
}

// Watcher holds this host's view of the endpoints. Lister and Loader have to be set.
type Watcher struct {
	Lister Lister
	Loader Loader
	// PollLimit is the number of engines whose load report is read in one round, so
	// that the cost does not grow with the number of engines; 0 stands for all.
	PollLimit int
	// Notices holds the notices of endpoints that hosts send each other.
	Notices Notices
	// OnNotices, if not nil, receives the notices that this host has to broadcast from
	// its own observations.
	OnNotices func(nots []*messenger.EndpointNotice)
	// Evacuated reports whether the endpoints of a data centre get no new requests; nil if all do.
	Evacuated func(dataCenter string) bool

	mu       sync.Mutex
	entries  []persister.Entry
	listedAt time.Time
	loads    map[string]loadReport
	version  uint64
}

type loadReport struct {
	load invoker.Load
	// at is the start of the round in which the report was read.
	at time.Time
}

// PollList reads the platform's list at an interval until ctx ends.
func (wat *Watcher) PollList(ctx context.Context, interval time.Duration) {
	repeat(ctx, interval, func(now time.Time) { wat.readList(ctx, now) })
}

// PollLoads reads load reports at an interval until ctx ends.
func (wat *Watcher) PollLoads(ctx context.Context, interval time.Duration) {
	repeat(ctx, interval, func(now time.Time) { wat.readLoads(ctx, now) })
}

func repeat(ctx context.Context, interval time.Duration, fn func(time.Time)) {
	tic := time.NewTicker(interval)
	defer tic.Stop()
	fn(time.Now())
	for {
		select {
		case now := <-tic.C:
			fn(now)
		case <-ctx.Done():
			return
		}
	}
}

func (wat *Watcher) readList(ctx context.Context, now time.Time) {
	ctx, stop := context.WithTimeout(ctx, readTimeout)
	defer stop()
	ents, err := wat.Lister.Entries(ctx)
	if err != nil {
		return
	}
	wat.mu.Lock()
	defer wat.mu.Unlock()
	wat.entries = ents
	wat.listedAt = now
	wat.version++
}

func (wat *Watcher) readLoads(ctx context.Context, now time.Time) {
	var gro sync.WaitGroup
	for _, ent := range wat.enginesToPoll() {
		gro.Go(func() { wat.readLoad(ctx, ent, now) })
	}
	gro.Wait()
}

// enginesToPoll returns the engines whose load reports are read in this round: all, or
// PollLimit engines drawn at random, possibly repeated.
func (wat *Watcher) enginesToPoll() []persister.Entry {
	var ents []persister.Entry
	for _, ent := range wat.Entries() {
		if ent.Kind == persister.KindEngine {
			ents = append(ents, ent)
		}
	}
	if wat.PollLimit <= 0 || len(ents) <= wat.PollLimit {
		return ents
	}
	out := make([]persister.Entry, wat.PollLimit)
	for i := range out {
		out[i] = ents[rand.IntN(len(ents))]
	}
	return out
}

func (wat *Watcher) readLoad(ctx context.Context, ent persister.Entry, now time.Time) {
	ctx, stop := context.WithTimeout(ctx, readTimeout)
	defer stop()
	loa, err := wat.Loader.Load(ctx, ent.Address)
	if err != nil {
		return
	}
	wat.observeNotice(Notice{Endpoint: ent.ID, Incarnation: loa.Incarnation, Leaving: loa.Leaving, At: now}, now)
	wat.mu.Lock()
	defer wat.mu.Unlock()
	if wat.loads == nil {
		wat.loads = map[string]loadReport{}
	}
	wat.loads[ent.ID] = loadReport{load: loa, at: now}
	wat.version++
}

// Version returns a number that increases with each list, load report and notice that is
// stored. The expiry of a notice does not increase it.
func (wat *Watcher) Version() uint64 {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	return wat.version + wat.Notices.changeCount()
}

// EvacuationsChanged records that the results of Evacuated may have changed.
func (wat *Watcher) EvacuationsChanged() {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	wat.version++
}

// ListedAt returns when the list was last read.
func (wat *Watcher) ListedAt() time.Time {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	return wat.listedAt
}

// Entries returns the list as last read.
func (wat *Watcher) Entries() []persister.Entry {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	return wat.entries
}

// Pool returns the view of a pool's endpoints.
func (wat *Watcher) Pool(poo parser.Pool) placer.View {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	var vie placer.View
	for _, ent := range wat.entries {
		if string(ent.Kind) != string(poo.Kind) || ent.Service != poo.Selector.Service {
			continue
		}
		if len(poo.Selector.DataCenters) > 0 && !slices.Contains(poo.Selector.DataCenters, ent.DataCenter) {
			continue
		}
		vie.Endpoints = append(vie.Endpoints, wat.endpoint(ent))
	}
	return vie
}

func (wat *Watcher) endpoint(ent persister.Entry) placer.Endpoint {
	rep := wat.loads[ent.ID]
	end := placer.Endpoint{
		ID: ent.ID, Address: ent.Address, DataCenter: ent.DataCenter, Models: ent.Models,
		Leaving: ent.Leaving || rep.load.Leaving || wat.Evacuated != nil && wat.Evacuated(ent.DataCenter) || wat.Notices.Leaving(ent.ID, time.Now()), ReportedAt: rep.at,
		MemoryTokens: rep.load.MemoryTokens, UsedTokens: rep.load.UsedTokens,
		QueuedTokens: rep.load.QueuedPromptTokens, PrefillRate: rep.load.PrefillRate,
		Running: rep.load.Running, Step: time.Duration(rep.load.StepMs * float64(time.Millisecond)),
	}
	if len(rep.load.Models) > 0 {
		end.Models = rep.load.Models
	}
	return end
}
