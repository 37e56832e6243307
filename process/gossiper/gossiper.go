// Package gossiper maintains the membership of the hosts and disseminates updates between
// them at a cost per host that does not grow with their number.
//
// In each interval a host probes one random peer. Probes and their replies carry
// the latest membership changes, endpoint notices, load digests and the revision
// of the tables. A peer that answers neither a direct nor an indirect probe is
// suspected, and declared dead unless it refutes the suspicion in time.
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
	"hemlockpin/process/registrar"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	// probeTimeout bounds a direct probe and each message that Broadcast, BroadcastNotices
	// or Leave sends.
	probeTimeout = 500 * time.Millisecond
	// indirectTimeout bounds an indirect probe, both at the host that requests it and at
	// the relay.
	indirectTimeout = 3 * probeTimeout
	// syncTimeout bounds each call that transfers members, tables or the platform's list.
	syncTimeout = 2 * time.Second
	// fanOut is the number of peers of its own region to which a host forwards
	// updates; one host of each other region is added. Neighbours derives the distances
	// of these peers from it.
	fanOut = 4
)

// Payload holds the functions that supply the data that probes carry for other parts of a
// host, and those that merge the data received from peers. A nil function sends or merges
// nothing.
type Payload struct {
	Notices func(now time.Time) []*messenger.EndpointNotice
	// MergeNotices merges notices and returns those that were new.
	MergeNotices func(nots []*messenger.EndpointNotice, now time.Time) []*messenger.EndpointNotice
	// Cells returns the cell digests that are useful to hosts of a region.
	Cells      func(region string, now time.Time) []*messenger.CellDigest
	MergeCells func(digs []*messenger.CellDigest, now time.Time)
	// RetryBudget returns what is left of this host's retry budget.
	RetryBudget      func(now time.Time) *messenger.RetryBudget
	MergeRetryBudget func(host string, ret *messenger.RetryBudget, now time.Time)
	// EndpointsRevision returns the revision of this host's endpoint records and the time
	// since the store confirmed it.
	EndpointsRevision func(now time.Time) (revision registrar.Revision, age time.Duration)
	// ObserveEndpoints receives the address of a peer, the revision of its endpoint records
	// and the time at which the store confirmed that revision.
	ObserveEndpoints func(address string, revision registrar.Revision, at time.Time)
	// QuarantineDigest returns the digest of the quarantines that this host knows.
	// ObserveQuarantines receives the address of a peer and its digest.
	QuarantineDigest   func(now time.Time) uint64
	ObserveQuarantines func(address string, digest uint64)
	// Limits returns limits of endpoints, MergeLimits receives those of a peer.
	Limits      func() []*messenger.LimitRecord
	MergeLimits func(lims []*messenger.LimitRecord, now time.Time)
	// Evacuations returns the evacuations that the host knows, MergeEvacuations receives those of
	// a peer.
	Evacuations      func() []*messenger.EvacuationRecord
	MergeEvacuations func(evas []*messenger.EvacuationRecord)
	// Synced is called after this host has pulled members and tables from a peer.
	Synced func(ctx context.Context, address string)
}

// Gossiper feeds events to a Roster and carries out its actions.
type Gossiper struct {
	Self        *messenger.Member
	Multiplexer *multiplexer.Multiplexer
	Publisher   *publisher.Publisher
	// Entries returns the platform's list of hosts and endpoints.
	Entries func() []persister.Entry
	// Lister holds the copy of the platform's list that hosts exchange; nil for none.
	Lister *lister.Lister
	// OnListAdopted is called after this host has adopted the platform's list from a peer;
	// nil for none.
	OnListAdopted func()
	// Seeds are the addresses to contact when no other peer is known or answers.
	Seeds   []string
	Payload Payload
	// AgeOf returns the time elapsed since at, including time in which the host was suspended;
	// nil if the host is never suspended.
	AgeOf func(at, now time.Time) time.Duration
	// Scope receives the counters of probes and membership changes; nil for none.
	Scope tally.Scope
	Log   zerolog.Logger

	mu     sync.Mutex
	roster *Roster
	joined bool
	// live and neighbours cache the roster's live peers and the peers of this region that
	// receive broadcasts. Both are reset to nil when the roster's change count differs from
	// changes.
	live       []Peer
	neighbours []Peer
	changes    uint64
}

// Run probes peers once per interval until ctx ends.
func (gos *Gossiper) Run(ctx context.Context, interval time.Duration) {
	var gro sync.WaitGroup
	defer gro.Wait()
	gro.Go(func() { gos.runSync(ctx, interval) })
	tic := time.NewTicker(interval)
	defer tic.Stop()
	for {
		now := time.Now()
		gos.step(ctx, Listed{gos.listedPeers()}, now)
		gos.step(ctx, Tick{}, now)
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

// step passes an event to the roster and carries out the resulting actions.
func (gos *Gossiper) step(ctx context.Context, eve Event, now time.Time) {
	gos.mu.Lock()
	acts := gos.rosterLocked().Step(eve, now)
	if changes := gos.rosterLocked().Changes(); changes != gos.changes {
		gos.changes, gos.live, gos.neighbours = changes, nil, nil
	}
	gos.mu.Unlock()
	for _, act := range acts {
		switch act := act.(type) {
		case Probe:
			go gos.probe(ctx, act.Peer)
		case IndirectProbe:
			go gos.probeIndirectly(ctx, act)
		case StateChange:
			gos.reportChange(act)
		}
	}
}

// rosterLocked returns the roster, creating it if needed. The caller holds gos.mu.
func (gos *Gossiper) rosterLocked() *Roster {
	if gos.roster == nil {
		self, _ := PeerOf(gos.Self)
		gos.roster = &Roster{Self: self, Random: rand.New(rand.NewPCG(self.Incarnation, rand.Uint64()))}
	}
	return gos.roster
}

func (gos *Gossiper) reportChange(change StateChange) {
	gos.count("membership_changes", map[string]string{"state": string(change.New)})
	gos.Log.Info().Str("Peer", change.ID).Str("Was", string(change.Old)).Str("Is", string(change.New)).Msg("peer state changed")
}

func (gos *Gossiper) count(name string, tags map[string]string) {
	if gos.Scope != nil {
		gos.Scope.Tagged(tags).Counter(name).Inc(1)
	}
}

// listedPeers returns the hosts of the platform's list.
func (gos *Gossiper) listedPeers() []Peer {
	var out []Peer
	for _, ent := range gos.Entries() {
		if ent.Kind != persister.KindHost {
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
	// The second attempt dials a new connection, in case the session no longer responds.
	for range 2 {
		rep, err := gos.call(ctx, probeTimeout, per.Address, gos.buildPing(per.ID))
		if pon := rep.GetPong(); err == nil && pon.GetFrom().GetId() == per.ID {
			gos.handlePong(ctx, pon, per.Address)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
	gos.count("probes_missed", nil)
	gos.step(ctx, ProbeFailed{per.ID}, time.Now())
}

// ProbeNow probes a peer out of turn, to receive its latest state.
func (gos *Gossiper) ProbeNow(ctx context.Context, per Peer) { gos.probe(ctx, per) }

func (gos *Gossiper) probeIndirectly(ctx context.Context, act IndirectProbe) {
	pin := gos.buildPing(act.Peer.ID).GetPing()
	pons := make(chan *messenger.Pong, len(act.Relays))
	for _, relay := range act.Relays {
		env := &messenger.Envelope{Body: &messenger.Envelope_PingIndirect{PingIndirect: &messenger.PingIndirect{Ping: pin, Address: act.Peer.Address}}}
		go func() {
			rep, _ := gos.call(ctx, indirectTimeout, relay.Address, env)
			pons <- rep.GetPong()
		}()
	}
	for range act.Relays {
		if pon := <-pons; pon.GetFrom().GetId() == act.Peer.ID {
			gos.handlePong(ctx, pon, "")
			return
		}
	}
	if ctx.Err() == nil {
		gos.step(ctx, IndirectProbeFailed{act.Peer.ID}, time.Now())
	}
}

// call sends a message and waits for the reply up to the timeout.
func (gos *Gossiper) call(ctx context.Context, timeout time.Duration, address string, env *messenger.Envelope) (*messenger.Envelope, error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	return gos.Multiplexer.Call(ctx, address, env)
}

// SetSeeds replaces the addresses to contact when no other peer is known or answers.
func (gos *Gossiper) SetSeeds(seeds []string) {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	gos.Seeds = seeds
}

func (gos *Gossiper) self() *messenger.Member {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	return gos.rosterLocked().Self.Member()
}

// Live returns the peers that can be given work: alive, reachable and not leaving.
// The slice is shared and must not be modified.
func (gos *Gossiper) Live(time.Time) []Peer {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	return gos.livePeers()
}

// livePeers returns the cached live peers. The caller holds gos.mu.
func (gos *Gossiper) livePeers() []Peer {
	if gos.live == nil {
		gos.live = gos.rosterLocked().Live()
	}
	return gos.live
}

// MergePeer merges a report of a peer's state that did not arrive in a message of the
// gossiper.
func (gos *Gossiper) MergePeer(per Peer) {
	gos.step(context.Background(), Received{Updates: []Peer{per}}, time.Now())
}

// Changes returns the number of changes so far to the set of peers and to their states,
// addresses, incarnations and reachability, so that callers can cache what they derive from
// Peers and Live. Heard times and table revisions do not count.
func (gos *Gossiper) Changes() uint64 {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	return gos.changes
}

// Peers returns all known hosts except this one.
func (gos *Gossiper) Peers() []Peer {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	return gos.rosterLocked().All()
}

// Incarnation returns the newest known incarnation of a host, and whether that process has
// been reported and not declared dead. An unreachable process is not dead. For an unknown
// host it returns 0 and false.
func (gos *Gossiper) Incarnation(host string) (uint64, bool) {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	return gos.rosterLocked().Incarnation(host)
}

// StartIncarnation returns the incarnation with which the newest known process of a host
// began, and under which its requests are owned; 0 if the host is unknown.
func (gos *Gossiper) StartIncarnation(host string) uint64 {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	return gos.rosterLocked().StartIncarnation(host)
}

// dialAddress returns the address at which this host calls a peer.
func (gos *Gossiper) dialAddress(per Peer) string {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	if mem := gos.rosterLocked().members[per.ID]; mem != nil {
		return mem.dialPeer().Address
	}
	return per.Address
}

// Leave notifies peers that this host is draining.
func (gos *Gossiper) Leave(ctx context.Context) {
	gos.step(ctx, Leave{}, time.Now())
	var gro sync.WaitGroup
	for _, per := range gos.broadcastTargets(true) {
		gro.Go(func() {
			if rep, err := gos.call(ctx, probeTimeout, per.Address, gos.buildPing(per.ID)); err == nil {
				gos.handlePong(ctx, rep.GetPong(), per.Address)
			}
		})
	}
	gro.Wait()
}

// broadcastTargets returns the peers to which a broadcast goes directly: the neighbours
// in this region and, if crossRegion is set, one host of each other region.
func (gos *Gossiper) broadcastTargets(crossRegion bool) []Peer {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	ros := gos.rosterLocked()
	if gos.neighbours == nil {
		gos.neighbours = Neighbours(ros.Self, gos.livePeers())
	}
	out := slices.Clone(gos.neighbours)
	if !crossRegion {
		return out
	}
	seen := map[string]bool{ros.Self.Region: true}
	for _, per := range ros.Sample(len(ros.members), func(per Peer) bool { return per.Region != ros.Self.Region }) {
		if !seen[per.Region] {
			seen[per.Region] = true
			out = append(out, per)
		}
	}
	return out
}
