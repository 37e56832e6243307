package gossiper

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// crossEvery is how many probes pass between two into another region.
	crossEvery = 4
	// retryEvery is how many probes pass between two of a peer taken for dead.
	retryEvery = 5
	// suspectBase scales the time in which a suspected host can refute.
	suspectBase = 2 * time.Second
	// forgetAfter is how long a dead or leaving host is remembered.
	forgetAfter = 10 * time.Minute
	// indirectProbes is the number of peers asked to probe for this host.
	indirectProbes = 2
	// maxUpdates bounds the changes that one probe carries.
	maxUpdates = 8
	// transmitFactor scales how often a change is passed on.
	transmitFactor = 3
	// cutAfter is how many probes into a region must fail in a row before its
	// hosts are left alone.
	cutAfter = 3
	// doubtAfter is how many probes must fail in a row before a host trusts its
	// own judgement no more.
	doubtAfter = 3
	// judges is how many live hosts of a region can find its dead ones; with
	// fewer, hosts of other regions do.
	judges = 2
)

// Event is something that a host learns: Tick, Listed, Heard, Missed, Unreached
// or Leave.
type Event interface{ event() }

// Tick is the passing of one heartbeat interval.
type Tick struct{}

// Listed reports the hosts of the platform's list, or the configured seeds.
type Listed struct{ Peers []Peer }

// Received reports a message of a peer. DialAddress is the address at which this host
// called it; it is empty when the peer was the caller.
type Received struct {
	From        Peer
	DialAddress string
	Updates     []Peer
}

// ProbeFailed reports that a peer did not answer a direct probe.
type ProbeFailed struct{ ID string }

// IndirectProbeFailed reports that a peer did not answer an indirect probe either.
type IndirectProbeFailed struct{ ID string }

// Leave reports that this host begins to drain.
type Leave struct{}

func (Tick) event()                {}
func (Listed) event()              {}
func (Received) event()            {}
func (ProbeFailed) event()         {}
func (IndirectProbeFailed) event() {}
func (Leave) event()               {}

// Action is what a host does next: Probe, ProbeVia or Note.
type Action interface{ action() }

// Probe sends a probe to a peer.
type Probe struct{ Peer Peer }

// IndirectProbe asks other peers to probe one.
type IndirectProbe struct {
	Peer   Peer
	Relays []Peer
}

// StateChange reports a change of a peer's state.
type StateChange struct {
	ID  string
	Old State
	New State
}

func (Probe) action()         {}
func (IndirectProbe) action() {}
func (StateChange) action()   {}

// Roster decides on membership. It does no input or output and reads no clock.
type Roster struct {
	Self Peer
	// Random orders the probes.
	Random *rand.Rand

	members map[string]*member
	near    ring
	far     ring
	lost    ring
	pending map[string]int
	regions map[string]int
	ticks   uint64
	misses  int
	// changes counts what has changed of the peers but for when they were heard.
	changes uint64
}

type member struct {
	Peer
	// dial is the address that this host calls.
	dial        string
	listed      bool
	listLeaving bool
	unreachable bool
	since       time.Time
}

// ring visits a changing set of names in random order, each once a round.
type ring struct{ names []string }

func (rin *ring) next(ran *rand.Rand, fill func() []string) string {
	if len(rin.names) == 0 {
		rin.names = fill()
		ran.Shuffle(len(rin.names), func(one, two int) { rin.names[one], rin.names[two] = rin.names[two], rin.names[one] })
	}
	if len(rin.names) == 0 {
		return ""
	}
	nam := rin.names[0]
	rin.names = rin.names[1:]
	return nam
}

// Step decides on an event.
func (ros *Roster) Step(eve Event, now time.Time) []Action {
	if ros.members == nil {
		ros.members = map[string]*member{}
		ros.pending = map[string]int{}
		ros.regions = map[string]int{}
	}
	switch eve := eve.(type) {
	case Tick:
		return ros.tick(now)
	case Listed:
		ros.list(eve.Peers, now)
		return nil
	case Received:
		return ros.heard(eve, now)
	case ProbeFailed:
		return ros.missed(eve.ID, now)
	case IndirectProbeFailed:
		return ros.unreached(eve.ID, now)
	case Leave:
		ros.Self.State = StateLeaving
		ros.broadcast(ros.Self.ID)
		return nil
	default:
		return nil
	}
}

func (ros *Roster) tick(now time.Time) []Action {
	ros.ticks++
	acts := ros.expire(now)
	if per, ok := ros.target(); ok {
		acts = append(acts, Probe{per})
	}
	if per, ok := ros.retry(); ok {
		acts = append(acts, Probe{per})
	}
	return acts
}

// expire ends suspicions and forgets hosts that are gone.
func (ros *Roster) expire(now time.Time) []Action {
	var acts []Action
	lim := ros.suspectTimeout()
	for _, id := range ros.sorted(func(mem *member) bool { return mem.State != StateAlive && mem.State != StateListed }) {
		mem := ros.members[id]
		age := now.Sub(mem.since)
		switch {
		case mem.State == StateSuspect && age >= lim:
			acts = append(acts, ros.set(mem, StateDead, now)...)
		case (mem.State == StateDead || mem.State == StateLeaving) && age >= forgetAfter && !mem.listed:
			ros.changes++
			delete(ros.members, id)
		}
	}
	return acts
}

func (ros *Roster) suspectTimeout() time.Duration {
	return time.Duration(float64(suspectBase) * (1 + math.Log10(float64(len(ros.members)+1))))
}

// target picks the peer of the next probe: mostly one of the own region.
func (ros *Roster) target() (Peer, bool) {
	near := func(mem *member) bool { return mem.Region == ros.Self.Region && probed(mem) }
	far := func(mem *member) bool { return mem.Region != ros.Self.Region && probed(mem) }
	rins := []struct {
		rin *ring
		fit func(*member) bool
	}{{&ros.near, near}, {&ros.far, far}}
	if ros.ticks%crossEvery == 0 {
		slices.Reverse(rins)
	}
	for _, one := range rins {
		if per, ok := ros.draw(one.rin, one.fit); ok {
			return per, true
		}
	}
	return Peer{}, false
}

// probed selects the peers of the ordinary probes.
func probed(mem *member) bool {
	return mem.State == StateAlive || mem.State == StateSuspect || mem.State == StateLeaving
}

// retry picks a peer that is not known to be alive: listed ones at each tick,
// dead and unreachable ones rarely, so that they come back at a bounded rate.
func (ros *Roster) retry() (Peer, bool) {
	return ros.draw(&ros.lost, func(mem *member) bool {
		if mem.State == StateListed {
			return true
		}
		return (mem.State == StateDead || mem.unreachable) && ros.ticks%retryEvery == 0
	})
}

func (ros *Roster) draw(rin *ring, fit func(*member) bool) (Peer, bool) {
	fill := func() []string { return ros.sorted(fit) }
	for range len(rin.names) + 1 {
		nam := rin.next(ros.Random, fill)
		if mem := ros.members[nam]; mem != nil && fit(mem) {
			return mem.peer(), true
		}
	}
	return Peer{}, false
}

// sorted returns the names that fit, in a fixed order.
func (ros *Roster) sorted(fit func(*member) bool) []string {
	var out []string
	for id, mem := range ros.members {
		if fit(mem) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (mem *member) peer() Peer {
	per := mem.Peer
	if mem.dial != "" {
		per.Address = mem.dial
	}
	return per
}

func (ros *Roster) list(pers []Peer, now time.Time) {
	see := map[string]bool{}
	for _, per := range pers {
		if per.ID == ros.Self.ID {
			continue
		}
		see[per.ID] = true
		ros.listOne(per, now)
	}
	for id, mem := range ros.members {
		mem.listed = see[id]
		if !mem.listed && mem.State == StateListed {
			ros.changes++
			delete(ros.members, id)
		}
	}
}

func (ros *Roster) listOne(per Peer, now time.Time) {
	mem := ros.members[per.ID]
	if mem == nil {
		leaving := per.State == StateLeaving
		per.State = StateListed
		ros.changes++
		ros.members[per.ID] = &member{Peer: per, dial: per.Address, listed: true, listLeaving: leaving, since: now}
		return
	}
	was := *mem
	mem.listLeaving = per.State == StateLeaving
	if mem.State == StateListed || mem.dial == "" || mem.State == StateDead {
		mem.dial = per.Address
	}
	if *mem != was {
		ros.changes++
	}
}

// Updates returns the changes to pass on with the next message, those about
// the peer first.
func (ros *Roster) Updates(peer string) []Peer {
	var out []Peer
	if mem := ros.members[peer]; mem != nil && (mem.State == StateSuspect || mem.State == StateDead) {
		out = append(out, mem.Peer)
	}
	ids := make([]string, 0, len(ros.pending))
	for id := range ros.pending {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(one, two string) int {
		if dif := ros.pending[two] - ros.pending[one]; dif != 0 {
			return dif
		}
		if one < two {
			return -1
		}
		return 1
	})
	for _, id := range ids[:min(len(ids), maxUpdates)] {
		if mem := ros.members[id]; mem != nil && mem.State != StateListed {
			out = append(out, mem.Peer)
		}
		if ros.pending[id]--; ros.pending[id] <= 0 {
			delete(ros.pending, id)
		}
	}
	return out
}

func (ros *Roster) broadcast(id string) {
	ros.pending[id] = transmitFactor * bits.Len(uint(len(ros.members)+1))
}
