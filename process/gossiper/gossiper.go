// Package gossiper exchanges heartbeats between hosts and spreads tables.
package gossiper

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/multiplexer"
	"hemlockpin/connection/persister"
	"hemlockpin/process/publisher"
)

const callTimeout = time.Second

// Gossiper probes the peers that the platform lists.
type Gossiper struct {
	Self        *messenger.Member
	Multiplexer *multiplexer.Multiplexer
	Publisher   *publisher.Publisher
	// Entries returns the platform's list.
	Entries func() []persister.Entry

	mu    sync.Mutex
	peers map[string]Peer
}

// Peer is one other host as this one knows it.
type Peer struct {
	ID             string
	Address        string
	Incarnation    uint64
	TablesRevision uint64
	Heard          time.Time
}

// Run probes until ctx ends.
func (gos *Gossiper) Run(ctx context.Context, every time.Duration) {
	tic := time.NewTicker(every)
	defer tic.Stop()
	for {
		gos.probe(ctx)
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

// Peers returns the hosts heard of.
func (gos *Gossiper) Peers() []Peer {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	out := make([]Peer, 0, len(gos.peers))
	for _, pee := range gos.peers {
		out = append(out, pee)
	}
	return out
}

func (gos *Gossiper) targets() []persister.Entry {
	var out []persister.Entry
	for _, ent := range gos.Entries() {
		if ent.Kind == persister.KindEntry && ent.ID != gos.Self.GetId() {
			out = append(out, ent)
		}
	}
	return out
}

func (gos *Gossiper) probe(ctx context.Context) {
	ents := gos.targets()
	if len(ents) == 0 {
		return
	}
	ent := ents[rand.IntN(len(ents))]
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	rep, err := gos.Multiplexer.Call(ctx, ent.Address, &messenger.Envelope{Body: &messenger.Envelope_Ping{Ping: &messenger.Ping{
		From: gos.Self, Target: ent.ID, TablesRevision: gos.Publisher.Current().Revision(),
	}}})
	if err != nil {
		return
	}
	pon := rep.GetPong()
	gos.heard(pon.GetFrom(), pon.GetTablesRevision(), time.Now())
	if pon.GetTablesRevision() > gos.Publisher.Current().Revision() {
		gos.pull(ctx, ent.Address)
	}
}

func (gos *Gossiper) pull(ctx context.Context, address string) {
	rep, err := gos.Multiplexer.Call(ctx, address, &messenger.Envelope{Body: &messenger.Envelope_TablesPull{TablesPull: &messenger.TablesPull{
		HaveRevision: gos.Publisher.Current().Revision(),
	}}})
	if err == nil {
		_ = gos.Publisher.Receive(rep.GetTablesPush())
	}
}

// Push offers a revision to every listed peer.
func (gos *Gossiper) Push(ctx context.Context, pus *messenger.TablesPush) {
	var gro sync.WaitGroup
	for _, ent := range gos.targets() {
		gro.Go(func() {
			ctx, stop := context.WithTimeout(ctx, callTimeout)
			defer stop()
			_, _ = gos.Multiplexer.Call(ctx, ent.Address, &messenger.Envelope{Body: &messenger.Envelope_TablesPush{TablesPush: pus}})
		})
	}
	gro.Wait()
}

func (gos *Gossiper) heard(mem *messenger.Member, rev uint64, now time.Time) {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	if gos.peers == nil {
		gos.peers = map[string]Peer{}
	}
	gos.peers[mem.GetId()] = Peer{ID: mem.GetId(), Address: mem.GetAddress(), Incarnation: mem.GetIncarnation(), TablesRevision: rev, Heard: now}
}

// HandlePing answers a probe.
func (gos *Gossiper) HandlePing(pin *messenger.Ping, now time.Time) *messenger.Envelope {
	gos.heard(pin.GetFrom(), pin.GetTablesRevision(), now)
	return &messenger.Envelope{Body: &messenger.Envelope_Pong{Pong: &messenger.Pong{From: gos.Self, TablesRevision: gos.Publisher.Current().Revision()}}}
}
