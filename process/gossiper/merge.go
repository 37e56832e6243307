package gossiper

import (
	"slices"
	"time"
)

func (ros *Roster) receive(eve Received, now time.Time) []Action {
	var acts []Action
	for _, upd := range eve.Updates {
		acts = append(acts, ros.merge(upd, now)...)
	}
	if eve.From.ID == "" || eve.From.ID == ros.Self.ID {
		return acts
	}
	acts = append(acts, ros.merge(eve.From, now)...)
	mem := ros.members[eve.From.ID]
	if mem == nil {
		return acts
	}
	if mem.Incarnation != eve.From.Incarnation {
		return append(acts, ros.handleOlderIncarnation(mem, eve, now)...)
	}
	mem.Heard = now
	mem.TablesRevision = max(mem.TablesRevision, eve.From.TablesRevision)
	if eve.DialAddress != "" {
		ros.markReached(mem, eve.DialAddress)
	}
	return acts
}

// handleOlderIncarnation handles a message of an older incarnation of a host than the newest
// known one. If it is a reply from the same address, the host has restarted with its clock
// behind, and the newest known process is marked dead. On receipt of that report the
// restarted process raises its incarnation above that of the dead one. If the newest known
// process runs at another address, it refutes the report.
func (ros *Roster) handleOlderIncarnation(mem *member, eve Received, now time.Time) []Action {
	if eve.DialAddress == "" || eve.DialAddress != mem.dialPeer().Address || mem.State == StateDead {
		return nil
	}
	return ros.setState(mem, StateDead, now)
}

// markReached records that a peer answered a call of this host.
func (ros *Roster) markReached(mem *member, address string) {
	if mem.dialAddress != address || mem.unreachable || ros.regionUnreachable(mem.Region) {
		ros.changes++
	}
	mem.dialAddress = address
	mem.unreachable = false
	ros.failures = 0
	if ros.regionUnreachable(mem.Region) {
		for _, other := range ros.members {
			other.unreachable = other.unreachable && other.Region != mem.Region
		}
	}
	delete(ros.regionFailures, mem.Region)
}

// regionUnreachable reports whether the last probes into another region have all failed.
func (ros *Roster) regionUnreachable(region string) bool {
	return ros.regionFailures[region] >= regionUnreachableAfter
}

// merge merges a report about a host, from that host or another one.
func (ros *Roster) merge(upd Peer, now time.Time) []Action {
	if upd.ID == ros.Self.ID {
		ros.refute(upd)
		return nil
	}
	mem := ros.members[upd.ID]
	if (mem == nil || mem.State == StateListed) && upd.State == StateDead {
		// The report may concern an earlier process of a host that has not been probed yet.
		return nil
	}
	if mem == nil {
		mem = &member{Peer: Peer{ID: upd.ID, State: StateListed}}
		ros.members[upd.ID] = mem
	}
	if mem.State != StateListed && !upd.newer(mem.Peer) {
		return nil
	}
	oldState := mem.State
	if upd.Incarnation != mem.Incarnation {
		mem.TablesRevision = 0
		mem.unreachable = false
	}
	if oldState != StateListed && upd.Address != mem.Address {
		mem.dialAddress = ""
	}
	upd.Heard = mem.Heard
	upd.TablesRevision = mem.TablesRevision
	mem.Peer = upd
	mem.changedAt = now
	ros.changes++
	ros.queueUpdate(upd.ID)
	if oldState == upd.State {
		return nil
	}
	return []Action{StateChange{upd.ID, oldState, upd.State}}
}

// refute raises the refutation of this process if a report gives it a worse state than it
// has. If a report declares a newer incarnation of this host dead, this process raises its
// own incarnation above that one, since peers would ignore a lower one. A newer incarnation
// that is reported alive belongs to a process that has replaced this one, and is not
// refuted.
func (ros *Roster) refute(upd Peer) {
	if upd.Incarnation > ros.Self.Incarnation && upd.State == StateDead {
		ros.Self.Incarnation = upd.Incarnation + 1
		ros.Self.Refutation = 0
		return
	}
	if upd.Incarnation != ros.Self.Incarnation || upd.Refutation < ros.Self.Refutation {
		return
	}
	if upd.State.rank() <= ros.Self.State.rank() {
		return
	}
	ros.Self.Refutation = upd.Refutation + 1
}

func (ros *Roster) probeFailed(id string, now time.Time) []Action {
	mem := ros.members[id]
	if mem == nil || mem.State == StateListed || mem.State == StateDead {
		return nil
	}
	ros.failures++
	ros.changes++
	if mem.Region != ros.Self.Region {
		ros.regionFailures[mem.Region]++
	}
	mem.unreachable = !ros.regionUnreachable(mem.Region)
	relays := ros.Sample(indirectProbes, func(per Peer) bool { return per.ID != id && per.Region == mem.Region })
	if len(relays) == 0 {
		return ros.indirectProbeFailed(id, now)
	}
	return []Action{IndirectProbe{mem.dialPeer(), relays}}
}

func (ros *Roster) indirectProbeFailed(id string, now time.Time) []Action {
	mem := ros.members[id]
	if mem == nil || !isProbed(mem) {
		return nil
	}
	switch {
	case !ros.maySuspect(mem):
		return nil
	case mem.State == StateLeaving:
		return ros.setState(mem, StateDead, now)
	case mem.State == StateAlive:
		return ros.setState(mem, StateSuspect, now)
	default:
		return nil
	}
}

// maySuspect reports whether this host may declare a peer suspect. Only hosts of the
// peer's region may, unless fewer than minObservers are alive there, so that a partition
// between regions does not make each side declare the other dead. A host whose last
// probes all failed suspects no one, since its own link is the likely cause.
func (ros *Roster) maySuspect(mem *member) bool {
	if ros.failures >= isolatedAfter || ros.regionUnreachable(mem.Region) {
		return false
	}
	if mem.Region == ros.Self.Region {
		return true
	}
	observers := ros.sortedIDs(func(other *member) bool {
		return other.ID != mem.ID && other.Region == mem.Region && other.State == StateAlive
	})
	return len(observers) < minObservers
}

func (ros *Roster) setState(mem *member, sta State, now time.Time) []Action {
	oldState := mem.State
	mem.State = sta
	mem.changedAt = now
	ros.changes++
	ros.queueUpdate(mem.ID)
	return []Action{StateChange{mem.ID, oldState, sta}}
}

// isLive reports whether a peer can be given work.
func (ros *Roster) isLive(mem *member) bool {
	return mem.State == StateAlive && !mem.listedLeaving && !mem.unreachable && !ros.regionUnreachable(mem.Region)
}

// Changes returns the number of changes so far to the set of peers and to their states,
// addresses, incarnations and reachability. Heard times and table revisions do not count.
func (ros *Roster) Changes() uint64 { return ros.changes }

// Live returns the peers that are alive, reachable and not leaving, ordered by ID.
func (ros *Roster) Live() []Peer {
	ids := ros.sortedIDs(ros.isLive)
	out := make([]Peer, 0, len(ids))
	for _, id := range ids {
		out = append(out, ros.members[id].dialPeer())
	}
	return out
}

// All returns every peer, ordered by ID.
func (ros *Roster) All() []Peer {
	ids := ros.sortedIDs(func(*member) bool { return true })
	out := make([]Peer, 0, len(ids))
	for _, id := range ids {
		out = append(out, ros.members[id].dialPeer())
	}
	return out
}

// Reported returns this host and all peers that hosts have reported, with the addresses that
// the peers advertise. Peers that are only in the platform's list are omitted.
func (ros *Roster) Reported() []Peer {
	out := []Peer{ros.Self}
	for _, id := range ros.sortedIDs(func(mem *member) bool { return mem.State != StateListed }) {
		out = append(out, ros.members[id].Peer)
	}
	return out
}

// Sample returns up to num random live peers that match.
func (ros *Roster) Sample(num int, match func(Peer) bool) []Peer {
	pers := slices.DeleteFunc(ros.Live(), func(per Peer) bool { return !match(per) })
	ros.Random.Shuffle(len(pers), func(i, j int) { pers[i], pers[j] = pers[j], pers[i] })
	return pers[:min(num, len(pers))]
}

// Incarnation returns the newest known incarnation of a host, and whether that process has
// been reported and not declared dead. An unreachable process is not dead. For an unknown
// host it returns 0 and false.
func (ros *Roster) Incarnation(host string) (uint64, bool) {
	if host == ros.Self.ID {
		return ros.Self.Incarnation, true
	}
	mem := ros.members[host]
	if mem == nil || mem.State == StateListed {
		return 0, false
	}
	return mem.Incarnation, mem.State != StateDead
}

// StartIncarnation returns the incarnation with which the newest known process of a host
// began, and under which its requests are owned; 0 if the host is unknown.
func (ros *Roster) StartIncarnation(host string) uint64 {
	if host == ros.Self.ID {
		return ros.Self.Started
	}
	if mem := ros.members[host]; mem != nil {
		return mem.Started
	}
	return 0
}
