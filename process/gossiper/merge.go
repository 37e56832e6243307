package gossiper

import (
	"slices"
	"time"
)

func (ros *Roster) heard(eve Received, now time.Time) []Action {
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
		return append(acts, ros.outlived(mem, eve, now)...)
	}
	mem.Heard = now
	mem.TablesRevision = max(mem.TablesRevision, eve.From.TablesRevision)
	if eve.DialAddress != "" {
		ros.reached(mem, eve.DialAddress)
	}
	return acts
}

// outlived takes the newer process of a host for dead when an older incarnation
// answers in its place: the one that answers was started with its clock behind,
// and takes an incarnation above the newer one once it hears of its death. If
// the newer one lives elsewhere it refutes.
func (ros *Roster) outlived(mem *member, eve Received, now time.Time) []Action {
	if eve.DialAddress == "" || eve.DialAddress != mem.peer().Address || mem.State == StateDead {
		return nil
	}
	return ros.set(mem, StateDead, now)
}

// reached notes that this host's own call to a peer was answered.
func (ros *Roster) reached(mem *member, address string) {
	if mem.dial != address || mem.unreachable || ros.cut(mem.Region) {
		ros.changes++
	}
	mem.dial = address
	mem.unreachable = false
	ros.misses = 0
	if ros.cut(mem.Region) {
		for _, oth := range ros.members {
			oth.unreachable = oth.unreachable && oth.Region != mem.Region
		}
	}
	delete(ros.regions, mem.Region)
}

// cut reports whether no host of another region can be reached.
func (ros *Roster) cut(region string) bool { return ros.regions[region] >= cutAfter }

// merge takes what another host holds of a process.
func (ros *Roster) merge(upd Peer, now time.Time) []Action {
	if upd.ID == ros.Self.ID {
		ros.refute(upd)
		return nil
	}
	mem := ros.members[upd.ID]
	if (mem == nil || mem.State == StateListed) && upd.State == StateDead {
		// It may be an earlier process of a host that has to be tried first.
		return nil
	}
	if mem == nil {
		mem = &member{Peer: Peer{ID: upd.ID, State: StateListed}}
		ros.members[upd.ID] = mem
	}
	if mem.State != StateListed && !upd.newer(mem.Peer) {
		return nil
	}
	was := mem.State
	if upd.Incarnation != mem.Incarnation {
		mem.TablesRevision = 0
		mem.unreachable = false
	}
	if was != StateListed && upd.Address != mem.Address {
		mem.dial = ""
	}
	upd.Heard = mem.Heard
	upd.TablesRevision = mem.TablesRevision
	mem.Peer = upd
	mem.since = now
	ros.changes++
	ros.broadcast(upd.ID)
	if was == upd.State {
		return nil
	}
	return []Action{StateChange{upd.ID, was, upd.State}}
}

// refute answers a false report about this process. A newer process of this
// host that has ended is outbid, since peers would ignore this one otherwise. A
// newer one that lives is left alone, since it has replaced this one.
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

func (ros *Roster) missed(id string, now time.Time) []Action {
	mem := ros.members[id]
	if mem == nil || mem.State == StateListed || mem.State == StateDead {
		return nil
	}
	ros.misses++
	ros.changes++
	if mem.Region != ros.Self.Region {
		ros.regions[mem.Region]++
	}
	mem.unreachable = !ros.cut(mem.Region)
	vias := ros.Sample(indirectProbes, func(per Peer) bool { return per.ID != id && per.Region == mem.Region })
	if len(vias) == 0 {
		return ros.unreached(id, now)
	}
	return []Action{IndirectProbe{mem.peer(), vias}}
}

func (ros *Roster) unreached(id string, now time.Time) []Action {
	mem := ros.members[id]
	if mem == nil || !probed(mem) {
		return nil
	}
	switch {
	case !ros.judges(mem):
		return nil
	case mem.State == StateLeaving:
		return ros.set(mem, StateDead, now)
	case mem.State == StateAlive:
		return ros.set(mem, StateSuspect, now)
	default:
		return nil
	}
}

// judges reports whether this host may declare a peer suspect. Only hosts of
// its own region may, unless too few are left there: so a cut between regions
// does not make each side declare the other dead. A host that reaches nobody
// has reason to doubt itself.
func (ros *Roster) judges(mem *member) bool {
	if ros.misses >= doubtAfter || ros.cut(mem.Region) {
		return false
	}
	if mem.Region == ros.Self.Region {
		return true
	}
	own := ros.sorted(func(oth *member) bool {
		return oth.ID != mem.ID && oth.Region == mem.Region && oth.State == StateAlive
	})
	return len(own) < judges
}

func (ros *Roster) set(mem *member, sta State, now time.Time) []Action {
	was := mem.State
	mem.State = sta
	mem.since = now
	ros.changes++
	ros.broadcast(mem.ID)
	return []Action{StateChange{mem.ID, was, sta}}
}

// live reports whether a peer may be given work.
func (ros *Roster) live(mem *member) bool {
	return mem.State == StateAlive && !mem.listLeaving && !mem.unreachable && !ros.cut(mem.Region)
}

// Changes counts the changes of what Live and All return, but for the times and
// table revisions of peers.
func (ros *Roster) Changes() uint64 { return ros.changes }

// Live returns the peers that are alive, reachable and not leaving, by ID.
func (ros *Roster) Live() []Peer {
	ids := ros.sorted(ros.live)
	out := make([]Peer, 0, len(ids))
	for _, id := range ids {
		out = append(out, ros.members[id].peer())
	}
	return out
}

// All returns every peer, by ID.
func (ros *Roster) All() []Peer {
	ids := ros.sorted(func(*member) bool { return true })
	out := make([]Peer, 0, len(ids))
	for _, id := range ids {
		out = append(out, ros.members[id].peer())
	}
	return out
}

// Known returns this host and its peers with the addresses that they gave.
func (ros *Roster) Known() []Peer {
	out := []Peer{ros.Self}
	for _, id := range ros.sorted(func(mem *member) bool { return mem.State != StateListed }) {
		out = append(out, ros.members[id].Peer)
	}
	return out
}

// Sample draws up to num live peers that fit.
func (ros *Roster) Sample(num int, fit func(Peer) bool) []Peer {
	pers := slices.DeleteFunc(ros.Live(), func(per Peer) bool { return !fit(per) })
	ros.Random.Shuffle(len(pers), func(one, two int) { pers[one], pers[two] = pers[two], pers[one] })
	return pers[:min(num, len(pers))]
}

// Incarnation returns the newest known process of a host, and whether it is
// not known to have ended. A host that is only out of reach counts as alive.
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

// Started returns the incarnation under which the newest known process of a
// host owns its work; 0 if none was heard of.
func (ros *Roster) Started(host string) uint64 {
	if host == ros.Self.ID {
		return ros.Self.Started
	}
	if mem := ros.members[host]; mem != nil {
		return mem.Started
	}
	return 0
}
