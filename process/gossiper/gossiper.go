// Package gossiper keeps the membership of the entry hosts and spreads news
// between them at a cost that does not grow with their number.
//
// Each interval a host probes one random peer. Probes and their replies carry
// the last changes of membership, notices of endpoints, load digests and the
// revision of the tables. A peer that answers neither directly nor through
// others is suspected, and declared dead unless it refutes in time.
package gossiper

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/multiplexer"
	"hemlockpin/connection/persister"
	"hemlockpin/process/lister"
	"hemlockpin/process/publisher"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	probeTimeout    = 500 * time.Millisecond
	indirectTimeout = 3 * probeTimeout
	syncTimeout     = 2 * time.Second
	// fanOut is the number of peers of the own region to which a host forwards
	// news at once; one of each other region is added.
	fanOut = 4
)

// Payload is what probes carry for other parts of a host. Nil fields carry nothing.
type Payload struct {
	Notices func(now time.Time) []*messenger.EndpointNotice
	// MergeNotices merges notices and returns those that were news.
	MergeNotices func(nots []*messenger.EndpointNotice, now time.Time) []*messenger.EndpointNotice
	// Cells returns digests of cells that are of use to hosts of a region.
	Cells      func(region string, now time.Time) []*messenger.CellDigest
	MergeCells func(digs []*messenger.CellDigest, now time.Time)
	// Retries returns what this host's retry budget has left.
	Retries      func(now time.Time) *messenger.RetryBudget
	MergeRetries func(host string, ret *messenger.RetryBudget, now time.Time)
	// Endpoints returns the revision of the host's records of endpoints, and how
	// long ago the store confirmed it. ObserveEndpoints is told that of a peer.
	Endpoints        func(now time.Time) (revision uint64, age time.Duration)
	ObserveEndpoints func(address string, revision uint64, at time.Time)
	// Synced is told of a peer from which this host has taken members and tables.
	Synced func(ctx context.Context, address string)
}

// Gossiper carries out the decisions of a Roster.
type Gossiper struct {
	Self        *messenger.Member
	Multiplexer *multiplexer.Multiplexer
	Publisher   *publisher.Publisher
	// Entries returns the platform's list.
	Entries func() []persister.Entry
	// Lister holds the platform's list that peers pass on; nil for none.
	Lister *lister.Lister
	// ListChanged is called when a peer's reading of the list was adopted.
	ListChanged func()
	// Seeds are the peers to ask when the platform's list can't be read.
	Seeds   []string
	Payload Payload
	// AgeOf is the age of something that was true at a time, with suspensions of the host;
	// nil for a host that never is.
	AgeOf func(at, now time.Time) time.Duration
	// Scope counts probes and changes; nil counts nothing.
	Scope tally.Scope
	Log   zerolog.Logger

	mu     sync.Mutex
	roster *Roster
	joined bool
	// live are the live peers at a number of changes of the roster, around the peers
	// of the own region to which news goes; nil when not known.
	live    []Peer
	around  []Peer
	changes uint64
}

// Run probes until ctx ends.
func (gos *Gossiper) Run(ctx context.Context, every time.Duration) {
	var gro sync.WaitGroup
	defer gro.Wait()
	gro.Go(func() { gos.runSync(ctx, every) })
	tic := time.NewTicker(every)
	defer tic.Stop()
	for {
		now := time.Now()
		gos.step(ctx, Listed{gos.listed()}, now)
		gos.step(ctx, Tick{}, now)
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

// step takes one decision and carries out its actions.
func (gos *Gossiper) step(ctx context.Context, eve Event, now time.Time) {
	gos.mu.Lock()
	acts := gos.state().Step(eve, now)
	if num := gos.state().Changes(); num != gos.changes {
		gos.changes, gos.live, gos.around = num, nil, nil
	}
	gos.mu.Unlock()
	for _, act := range acts {
		switch act := act.(type) {
		case Probe:
			go gos.probe(ctx, act.Peer)
		case IndirectProbe:
			go gos.probeVia(ctx, act)
		case StateChange:
			gos.note(act)
		}
	}
}

// state returns the roster; the caller holds the lock.
func (gos *Gossiper) state() *Roster {
	if gos.roster == nil {
		self, _ := PeerOf(gos.Self)
		gos.roster = &Roster{Self: self, Random: rand.New(rand.NewPCG(self.Incarnation, rand.Uint64()))}
	}
	return gos.roster
}

func (gos *Gossiper) note(not StateChange) {
	gos.count("membership_changes", map[string]string{"state": string(not.New)})
	gos.Log.Info().Str("Peer", not.ID).Str("Was", string(not.Old)).Str("Is", string(not.New)).Msg("peer changed")
}

func (gos *Gossiper) count(name string, tags map[string]string) {
	if gos.Scope != nil {
		gos.Scope.Tagged(tags).Counter(name).Inc(1)
	}
}

// listed returns the entry hosts of the platform's list.
func (gos *Gossiper) listed() []Peer {
	var out []Peer
	for _, ent := range gos.Entries() {
		if ent.Kind != persister.KindEntry {
			continue
		}
		per := Peer{ID: ent.ID, Address: ent.Address, DataCenter: ent.DataCenter, Region: ent.Region}
		if ent.Leaving {
			per.State = StateLeaving
		}
		out = append(out, per)
	}
	return out
}

func (gos *Gossiper) probe(ctx context.Context, per Peer) {
	// A second try dials anew, in case the session has gone silent.
	for range 2 {
		rep, err := gos.call(ctx, probeTimeout, per.Address, gos.ping(per.ID))
		if pon := rep.GetPong(); err == nil && pon.GetFrom().GetId() == per.ID {
			gos.takePong(ctx, pon, per.Address)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
	gos.count("probes_missed", nil)
	gos.step(ctx, ProbeFailed{per.ID}, time.Now())
}

// ProbeNow probes a peer outside the random order, for what it knows.
func (gos *Gossiper) ProbeNow(ctx context.Context, per Peer) { gos.probe(ctx, per) }

func (gos *Gossiper) probeVia(ctx context.Context, act IndirectProbe) {
	pin := gos.ping(act.Peer.ID).GetPing()
	pons := make(chan *messenger.Pong, len(act.Relays))
	for _, via := range act.Relays {
		env := &messenger.Envelope{Body: &messenger.Envelope_PingIndirect{PingIndirect: &messenger.PingIndirect{Ping: pin, Address: act.Peer.Address}}}
		go func() {
			rep, _ := gos.call(ctx, indirectTimeout, via.Address, env)
			pons <- rep.GetPong()
		}()
	}
	for range act.Relays {
		if pon := <-pons; pon.GetFrom().GetId() == act.Peer.ID {
			gos.takePong(ctx, pon, "")
			return
		}
	}
	if ctx.Err() == nil {
		gos.step(ctx, IndirectProbeFailed{act.Peer.ID}, time.Now())
	}
}

// call sends a message, or fails after the timeout.
func (gos *Gossiper) call(ctx context.Context, timeout time.Duration, address string, env *messenger.Envelope) (*messenger.Envelope, error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	return gos.Multiplexer.Call(ctx, address, env)
}

// SetSeeds changes the peers to ask when no others are known.
func (gos *Gossiper) SetSeeds(seeds []string) {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	gos.Seeds = seeds
}

func (gos *Gossiper) self() *messenger.Member {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	return gos.state().Self.Member()
}

// Live returns the peers that can be given work: alive, reachable, not leaving.
// The slice is shared and must not be changed.
func (gos *Gossiper) Live(time.Time) []Peer {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	return gos.livePeers()
}

// livePeers returns the live peers; the caller holds the lock.
func (gos *Gossiper) livePeers() []Peer {
	if gos.live == nil {
		gos.live = gos.state().Live()
	}
	return gos.live
}

// MergePeer takes what somebody else holds of a peer.
func (gos *Gossiper) MergePeer(per Peer) {
	gos.step(context.Background(), Received{Updates: []Peer{per}}, time.Now())
}

// Changes counts the changes of membership, for callers that keep what they have
// worked out from Peers.
func (gos *Gossiper) Changes() uint64 {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	return gos.changes
}

// Peers returns every other host that is known.
func (gos *Gossiper) Peers() []Peer {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	return gos.state().All()
}

// Incarnation returns the newest known process of a host, and whether it is not
// known to have ended.
func (gos *Gossiper) Incarnation(host string) (uint64, bool) {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	return gos.state().Incarnation(host)
}

// Started returns the incarnation under which the newest known process of a
// host owns its work; 0 if none was heard of.
func (gos *Gossiper) Started(host string) uint64 {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	return gos.state().Started(host)
}

// address returns where this host reaches a peer.
func (gos *Gossiper) address(per Peer) string {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	if mem := gos.state().members[per.ID]; mem != nil {
		return mem.peer().Address
	}
	return per.Address
}

// Leave tells peers that this host gives up its duties.
func (gos *Gossiper) Leave(ctx context.Context) {
	gos.step(ctx, Leave{}, time.Now())
	var gro sync.WaitGroup
	for _, per := range gos.fan(true) {
		gro.Go(func() {
			if rep, err := gos.call(ctx, probeTimeout, per.Address, gos.ping(per.ID)); err == nil {
				gos.takePong(ctx, rep.GetPong(), per.Address)
			}
		})
	}
	gro.Wait()
}

// fan picks the peers to which news goes at once: the neighbours of the own region
// and, if cross is set, one host of each other.
func (gos *Gossiper) fan(cross bool) []Peer {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	ros := gos.state()
	if gos.around == nil {
		gos.around = Neighbours(ros.Self, gos.livePeers())
	}
	out := slices.Clone(gos.around)
	if !cross {
		return out
	}
	regs := map[string]bool{ros.Self.Region: true}
	for _, per := range ros.Sample(len(ros.members), func(per Peer) bool { return per.Region != ros.Self.Region }) {
		if !regs[per.Region] {
			regs[per.Region] = true
			out = append(out, per)
		}
	}
	return out
}
