// Package watcher keeps a host's view of the endpoints: who is listed, who is
// leaving, and each engine's last load report.
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

const pollTimeout = time.Second

// Lister reads the platform's list.
type Lister interface {
	Entries(ctx context.Context) ([]persister.Entry, error)
}

// Loader reads an engine's load report.
type Loader interface {
	Load(ctx context.Context, address string) (invoker.Load, error)
}

// Watcher is the view of one host. It needs Lister and Loader.
type Watcher struct {
	Lister Lister
	Loader Loader
	// PollLimit bounds the engines that one round of load reports reads, so
	// that the cost does not grow with the fleet; 0 reads all.
	PollLimit int
	// Notices holds what hosts tell each other of endpoints.
	Notices Notices
	// OnNotices is told of notices that this host found itself; nil for nobody.
	OnNotices func(nots []*messenger.EndpointNotice)

	mu      sync.Mutex
	entries []persister.Entry
	listed  time.Time
	loads   map[string]report
	version uint64
}

type report struct {
	load invoker.Load
	at   time.Time
}

// PollList reads the list until ctx ends.
func (wat *Watcher) PollList(ctx context.Context, every time.Duration) {
	repeat(ctx, every, func(now time.Time) { wat.list(ctx, now) })
}

// PollLoads reads load reports until ctx ends.
func (wat *Watcher) PollLoads(ctx context.Context, every time.Duration) {
	repeat(ctx, every, func(now time.Time) { wat.poll(ctx, now) })
}

func repeat(ctx context.Context, every time.Duration, fun func(time.Time)) {
	tic := time.NewTicker(every)
	defer tic.Stop()
	fun(time.Now())
	for {
		select {
		case now := <-tic.C:
			fun(now)
		case <-ctx.Done():
			return
		}
	}
}

func (wat *Watcher) list(ctx context.Context, now time.Time) {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	ents, err := wat.Lister.Entries(ctx)
	if err != nil {
		return
	}
	wat.mu.Lock()
	defer wat.mu.Unlock()
	wat.entries = ents
	wat.listed = now
	wat.version++
}

func (wat *Watcher) poll(ctx context.Context, now time.Time) {
	var gro sync.WaitGroup
	for _, ent := range wat.batch() {
		gro.Go(func() { wat.pollOne(ctx, ent, now) })
	}
	gro.Wait()
}

// batch returns the engines to read in this round: all, or PollLimit drawn at
// random.
func (wat *Watcher) batch() []persister.Entry {
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
	for ind := range out {
		out[ind] = ents[rand.IntN(len(ents))]
	}
	return out
}

func (wat *Watcher) pollOne(ctx context.Context, ent persister.Entry, now time.Time) {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	loa, err := wat.Loader.Load(ctx, ent.Address)
	if err != nil {
		return
	}
	wat.notice(Notice{Endpoint: ent.ID, Incarnation: loa.Incarnation, Leaving: loa.Leaving, At: now}, now)
	wat.mu.Lock()
	defer wat.mu.Unlock()
	if wat.loads == nil {
		wat.loads = map[string]report{}
	}
	wat.loads[ent.ID] = report{load: loa, at: now}
	wat.version++
}

// Version counts the changes of the view.
func (wat *Watcher) Version() uint64 {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	return wat.version + wat.Notices.changes()
}

// ListedAt returns when the list was last read.
func (wat *Watcher) ListedAt() time.Time {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	return wat.listed
}

// Entries returns the last list that was read.
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
		Leaving: ent.Leaving || rep.load.Leaving || wat.Notices.Leaving(ent.ID, time.Now()), ReportedAt: rep.at,
		MemoryTokens: rep.load.MemoryTokens, UsedTokens: rep.load.UsedTokens,
		QueuedTokens: rep.load.QueuedPromptTokens, PrefillRate: rep.load.PrefillRate,
		Running: rep.load.Running, Step: time.Duration(rep.load.StepMs * float64(time.Millisecond)),
	}
	if len(rep.load.Models) > 0 {
		end.Models = rep.load.Models
	}
	return end
}
