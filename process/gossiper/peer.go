package gossiper

import (
	"cmp"
	"slices"
	"time"

	"hemlockpin/connection/messenger"
)

// State is the state of a peer as one host knows it.
type State string

// States of a peer. A listed peer is in the platform's list but no host has reported it yet.
const (
	StateListed  State = "Listed"
	StateAlive   State = "Alive"
	StateSuspect State = "Suspect"
	StateLeaving State = "Leaving"
	StateDead    State = "Dead"
)

// rank orders the states of one process: of two reports with the same incarnation and
// refutation, the one with the higher rank wins.
func (sta State) rank() int {
	switch sta {
	case StateAlive:
		return 1
	case StateSuspect:
		return 2
	case StateLeaving:
		return 3
	case StateDead:
		return 4
	default:
		return 0
	}
}

// Peer is a host as this host knows it; it may be this host itself.
type Peer struct {
	ID         string
	Address    string
	DataCenter string
	Region     string
	// Incarnation identifies the process.
	Incarnation uint64
	// Started is the incarnation with which the process began. It is lower than
	// Incarnation only if the process has since raised its incarnation above that of an
	// earlier process.
	Started uint64
	// Refutation counts the refutations under Incarnation: of two reports of an incarnation,
	// the one with the higher number supersedes the other.
	Refutation uint64
	State      State
	// TablesRevision is the newest revision of the tables that the process itself reported.
	TablesRevision uint64
	// CapacityMilli is the host's processor capacity in thousandths of a core; 0 if
	// unknown.
	CapacityMilli uint32
	// Heard is the time at which this host last received a probe or a reply of the process.
	Heard time.Time
}

// minCapacityShare is the least processor capacity of a host that may work for other hosts,
// as a share of the largest host's.
const minCapacityShare = 0.5

// WithEnoughCapacity returns the hosts with enough processor capacity to work for other
// hosts, such as to watch the store or to run planners. Hosts of unknown capacity are
// omitted if any capacity is known. It reuses the memory of pers.
func WithEnoughCapacity(pers []Peer) []Peer {
	var most uint32
	for _, per := range pers {
		most = max(most, per.CapacityMilli)
	}
	return slices.DeleteFunc(pers, func(per Peer) bool { return float64(per.CapacityMilli) < minCapacityShare*float64(most) })
}

// newer reports whether per supersedes old.
func (per Peer) newer(old Peer) bool {
	if per.Incarnation != old.Incarnation {
		return per.Incarnation > old.Incarnation
	}
	if per.Refutation != old.Refutation {
		return per.Refutation > old.Refutation
	}
	return per.State.rank() > old.State.rank()
}

var stateToWire = map[State]messenger.Member_State{
	StateAlive:   messenger.Member_STATE_ALIVE,
	StateSuspect: messenger.Member_STATE_SUSPECT,
	StateLeaving: messenger.Member_STATE_LEAVING,
	StateDead:    messenger.Member_STATE_DEAD,
}

var stateFromWire = map[messenger.Member_State]State{
	messenger.Member_STATE_ALIVE:   StateAlive,
	messenger.Member_STATE_SUSPECT: StateSuspect,
	messenger.Member_STATE_LEAVING: StateLeaving,
	messenger.Member_STATE_DEAD:    StateDead,
}

// Member converts a peer to its wire message.
func (per Peer) Member() *messenger.Member {
	mem := &messenger.Member{
		Id: per.ID, Address: per.Address, DataCenter: per.DataCenter, Region: per.Region,
		Incarnation: per.Incarnation, Refutation: per.Refutation, State: stateToWire[per.State], CapacityMilli: per.CapacityMilli,
	}
	if per.Started != per.Incarnation {
		mem.Started = per.Started
	}
	return mem
}

// maxCapacityMilli is the greatest processor capacity that counts as known.
const maxCapacityMilli = 10_000_000

// PeerOf converts a wire message. It returns false for a message without an ID, with a
// state of a later protocol version, or with counts that the host could not exceed.
func PeerOf(mem *messenger.Member) (Peer, bool) {
	sta, ok := stateFromWire[mem.GetState()]
	if !ok || mem.GetId() == "" || max(mem.GetIncarnation(), mem.GetStarted(), mem.GetRefutation()) >= messenger.MaxIncarnation {
		return Peer{}, false
	}
	capacity := mem.GetCapacityMilli()
	if capacity > maxCapacityMilli {
		capacity = 0
	}
	return Peer{
		ID: mem.GetId(), Address: mem.GetAddress(), DataCenter: mem.GetDataCenter(), Region: mem.GetRegion(),
		Incarnation: mem.GetIncarnation(), Started: cmp.Or(mem.GetStarted(), mem.GetIncarnation()), Refutation: mem.GetRefutation(), State: sta,
		CapacityMilli: capacity,
	}, true
}

func peersOf(mems []*messenger.Member) []Peer {
	var out []Peer
	for _, mem := range mems {
		if per, ok := PeerOf(mem); ok {
			out = append(out, per)
		}
	}
	return out
}

// peersOf converts the reports of a message, and counts those that are invalid and left out.
func (gos *Gossiper) peersOf(mems []*messenger.Member) []Peer {
	out := peersOf(mems)
	for range len(mems) - len(out) {
		gos.count("invalid_entries", map[string]string{"what": "members"})
	}
	return out
}

func membersOf(pers []Peer) []*messenger.Member {
	out := make([]*messenger.Member, 0, len(pers))
	for _, per := range pers {
		out = append(out, per.Member())
	}
	return out
}
