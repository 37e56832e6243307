package gossiper

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// remoteProbeEvery is the number of probes of which one goes to another region.
	remoteProbeEvery = 4
	// retryEvery is the number of ticks between probes of dead or unreachable peers.
	retryEvery = 5
	// suspectBase scales the time after which a suspected host is declared dead: suspectBase
	// times 1 plus the decimal logarithm of the number of hosts.
	suspectBase = 2 * time.Second
	// forgetAfter is how long a dead or leaving host is kept in the roster.
	forgetAfter = 10 * time.Minute
	// indirectProbes is the number of peers that are asked to send an indirect probe.
	indirectProbes = 2
	// maxUpdates bounds the number of updates in one probe.
	maxUpdates = 8
	// transmitFactor scales how often an update is sent: in transmitFactor messages per
	// binary digit of the number of hosts.
	transmitFactor = 3
	// regionUnreachableAfter is the number of probes into another region that must fail in a
	// row before all its hosts count as unreachable.
	regionUnreachableAfter = 3
	// isolatedAfter is the number of probes that must fail in a row before a host
	// assumes that its own link is at fault and suspects no peers.
	isolatedAfter = 3
	// minObservers is the number of live hosts of a region that suffices to detect its
	// dead hosts; with fewer, hosts of other regions may suspect them too.
	minObservers = 2
)

// Event is an input of a Roster: Tick, Listed, Received, ProbeFailed, IndirectProbeFailed
// or Leave.
type Event interface{ event() }

// Tick reports that one heartbeat interval has passed.
type Tick struct{}

// Listed reports the hosts of the platform's list.
type Listed struct{ Peers []Peer }

// Received reports a message of a peer. DialAddress is the address at which this host
// called the peer; it is empty if the peer called or a relay forwarded the reply. From is
// empty if the updates are not from a probe or a reply to one.
type Received struct {
	From        Peer
	DialAddress string
	Updates     []Peer
}

// ProbeFailed reports that a peer did not answer a direct probe.
type ProbeFailed struct{ ID string }

// IndirectProbeFailed reports that a peer did not answer an indirect probe either.
type IndirectProbeFailed struct{ ID string }

// Leave reports that this host starts draining.
type Leave struct{}

func (Tick) event()                {}
func (Listed) event()              {}
func (Received) event()            {}
func (ProbeFailed) event()         {}
func (IndirectProbeFailed) event() {}
func (Leave) event()               {}

// Action is an output of a Roster: Probe, IndirectProbe or StateChange.
type Action interface{ action() }

// Probe sends a probe to a peer.
type Probe struct{ Peer Peer }

// IndirectProbe asks other peers to probe a peer.
type IndirectProbe struct {
	Peer   Peer
	Relays []Peer
}

// StateChange reports that a peer's state has changed.
type StateChange struct {
	ID  string
	Old State
	New State
}

func (Probe) action()         {}
func (IndirectProbe) action() {}
func (StateChange) action()   {}

// Roster holds the membership as one host knows it, and turns events into actions. It does
// no I/O and reads no clock.
type Roster struct {
	Self Peer
	// Random orders the probes and draws samples.
	Random *rand.Rand

	members        map[string]*member
	localRotation  rotation
	remoteRotation rotation
	retryRotation  rotation
	// pending is the number of messages that are still to carry the update of a member.
	pending map[string]int
	// regionFailures is the number of consecutive failed probes into each other region.
	regionFailures map[string]int
	ticks          uint64
	// failures is the number of consecutive failed probes of any peers.
	failures int
	// changes is the number of changes to the set of peers and to their states, addresses,
	// incarnations and reachability. Heard times and table revisions do not count.
	changes uint64
}

type member struct {
	Peer
	// dialAddress is the address that this host calls.
	dialAddress   string
	listed        bool
	listedLeaving bool
	// unreachable is set if the last direct probe failed, unless the whole region
	// is unreachable.
	unreachable bool
	changedAt   time.Time
}

// rotation visits a changing set of IDs in random order, each once per round.
type rotation struct{ ids []string }

func (rot *rotation) next(ran *rand.Rand, fill func() []string) string {
	if len(rot.ids) == 0 {
		rot.ids = fill()
		ran.Shuffle(len(rot.ids), func(i, j int) { rot.ids[i], rot.ids[j] = rot.ids[j], rot.ids[i] })
	}
	if len(rot.ids) == 0 {
		return ""
	}
	id := rot.ids[0]
	rot.ids = rot.ids[1:]
	return id
}

// Step applies an event and returns the actions to carry out.
func (ros *Roster) Step(eve Event, now time.Time) []Action {
	if ros.members == nil {
		ros.members = map[string]*member{}
		ros.pending = map[string]int{}
		ros.regionFailures = map[string]int{}
	}
	switch eve := eve.(type) {
	case Tick:
		return ros.tick(now)
	case Listed:
		ros.updateListed(eve.Peers, now)
		return nil
	case Received:
		return ros.receive(eve, now)
	case ProbeFailed:
		return ros.probeFailed(eve.ID, now)
	case IndirectProbeFailed:
		return ros.indirectProbeFailed(eve.ID, now)
	case Leave:
		ros.Self.State = StateLeaving
		ros.queueUpdate(ros.Self.ID)
		return nil
	default:
		return nil
	}
}

func (ros *Roster) tick(now time.Time) []Action {
	ros.ticks++
	acts := ros.expire(now)
	if per, ok := ros.probeTarget(); ok {
		acts = append(acts, Probe{per})
	}
	if per, ok := ros.retryTarget(); ok {
		acts = append(acts, Probe{per})
	}
	return acts
}

// expire declares suspects dead after the time-out and drops old dead and leaving hosts.
func (ros *Roster) expire(now time.Time) []Action {
	var acts []Action
	timeout := ros.suspectTimeout()
	for _, id := range ros.sortedIDs(func(mem *member) bool { return mem.State != StateAlive && mem.State != StateListed }) {
		mem := ros.members[id]
		age := now.Sub(mem.changedAt)
		switch {
		case mem.State == StateSuspect && age >= timeout:
			acts = append(acts, ros.setState(mem, StateDead, now)...)
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

// probeTarget picks the peer of the next probe, most often one of this region.
func (ros *Roster) probeTarget() (Peer, bool) {
	local := func(mem *member) bool { return mem.Region == ros.Self.Region && isProbed(mem) }
	remote := func(mem *member) bool { return mem.Region != ros.Self.Region && isProbed(mem) }
	candidates := []struct {
		rot   *rotation
		match func(*member) bool
	}{{&ros.localRotation, local}, {&ros.remoteRotation, remote}}
	if ros.ticks%remoteProbeEvery == 0 {
		slices.Reverse(candidates)
	}
	for _, candidate := range candidates {
		if per, ok := ros.nextMatching(candidate.rot, candidate.match); ok {
			return per, true
		}
	}
	return Peer{}, false
}

// isProbed reports whether a peer takes part in the regular probes.
func isProbed(mem *member) bool {
	return mem.State == StateAlive || mem.State == StateSuspect || mem.State == StateLeaving
}

// retryTarget picks a listed, dead or unreachable peer to probe. Listed peers are candidates
// at each tick, dead and unreachable peers only every retryEvery ticks, so that the rate of
// such probes is bounded.
func (ros *Roster) retryTarget() (Peer, bool) {
	return ros.nextMatching(&ros.retryRotation, func(mem *member) bool {
		if mem.State == StateListed {
			return true
		}
		return (mem.State == StateDead || mem.unreachable) && ros.ticks%retryEvery == 0
	})
}

func (ros *Roster) nextMatching(rot *rotation, match func(*member) bool) (Peer, bool) {
	fill := func() []string { return ros.sortedIDs(match) }
	for range len(rot.ids) + 1 {
		id := rot.next(ros.Random, fill)
		if mem := ros.members[id]; mem != nil && match(mem) {
			return mem.dialPeer(), true
		}
	}
	return Peer{}, false
}

// sortedIDs returns the IDs of the members that match, in order.
func (ros *Roster) sortedIDs(match func(*member) bool) []string {
	var out []string
	for id, mem := range ros.members {
		if match(mem) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// dialPeer returns the peer with the address at which this host calls it.
func (mem *member) dialPeer() Peer {
	per := mem.Peer
	if mem.dialAddress != "" {
		per.Address = mem.dialAddress
	}
	return per
}

func (ros *Roster) updateListed(pers []Peer, now time.Time) {
	seen := map[string]bool{}
	for _, per := range pers {
		if per.ID == ros.Self.ID {
			continue
		}
		seen[per.ID] = true
		ros.updateListedPeer(per, now)
	}
	for id, mem := range ros.members {
		mem.listed = seen[id]
		if !mem.listed && mem.State == StateListed {
			ros.changes++
			delete(ros.members, id)
		}
	}
}

func (ros *Roster) updateListedPeer(per Peer, now time.Time) {
	mem := ros.members[per.ID]
	if mem == nil {
		leaving := per.State == StateLeaving
		per.State = StateListed
		ros.changes++
		ros.members[per.ID] = &member{Peer: per, dialAddress: per.Address, listed: true, listedLeaving: leaving, changedAt: now}
		return
	}
	old := *mem
	mem.listedLeaving = per.State == StateLeaving
	if mem.State == StateListed || mem.dialAddress == "" || mem.State == StateDead {
		mem.dialAddress = per.Address
	}
	if *mem != old {
		ros.changes++
	}
}

// NextUpdates returns the updates to send with the next message to a peer, a suspicion or
// death of that peer first. Each call counts as one transmission of the pending updates that
// it returns.
func (ros *Roster) NextUpdates(peer string) []Peer {
	var out []Peer
	if mem := ros.members[peer]; mem != nil && (mem.State == StateSuspect || mem.State == StateDead) {
		out = append(out, mem.Peer)
	}
	ids := make([]string, 0, len(ros.pending))
	for id := range ros.pending {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		if diff := ros.pending[b] - ros.pending[a]; diff != 0 {
			return diff
		}
		if a < b {
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

func (ros *Roster) queueUpdate(id string) {
	ros.pending[id] = transmitFactor * bits.Len(uint(len(ros.members)+1))
}
