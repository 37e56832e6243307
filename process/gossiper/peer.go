package gossiper

import (
	"cmp"
	"slices"
	"time"

	"hemlockpin/connection/messenger"
)

// State is what a host holds of a peer.
type State string

// States of a peer. A listed peer has not been heard of yet.
const (
	StateListed  State = "Listed"
	StateAlive   State = "Alive"
	StateSuspect State = "Suspect"
	StateLeaving State = "Leaving"
	StateDead    State = "Dead"
)

// rank orders the states that two hosts may hold of one process.
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

// Peer is one other host as this one knows it.
type Peer struct {
	ID         string
	Address    string
	DataCenter string
	Region     string
	// Incarnation identifies the process.
	Incarnation uint64
	// Started is the incarnation with which the process began. It is lower than
	// Incarnation only after the process has outbid one that had ended.
	Started uint64
	// Refutation counts the false suspicions that the process has refuted.
	Refutation     uint64
	State          State
	TablesRevision uint64
	// CapacityMilli is the host's processor time in thousandths of a core; 0 if
	// unknown.
	CapacityMilli uint32
	Heard         time.Time
}

// capableShare is the share of the most processor time of a host from which one takes
// duties for others.
const capableShare = 0.5

// WithEnoughCapacity returns the hosts with enough processor time to take duties for others. It
// changes the slice.
func WithEnoughCapacity(pers []Peer) []Peer {
	var most uint32
	for _, per := range pers {
		most = max(most, per.CapacityMilli)
	}
	return slices.DeleteFunc(pers, func(per Peer) bool { return float64(per.CapacityMilli) < capableShare*float64(most) })
}

// newer reports whether per supersedes what is held as old.
func (per Peer) newer(old Peer) bool {
	if per.Incarnation != old.Incarnation {
		return per.Incarnation > old.Incarnation
	}
	if per.Refutation != old.Refutation {
		return per.Refutation > old.Refutation
	}
	return per.State.rank() > old.State.rank()
}

var toWire = map[State]messenger.Member_State{
	StateAlive:   messenger.Member_STATE_ALIVE,
	StateSuspect: messenger.Member_STATE_SUSPECT,
	StateLeaving: messenger.Member_STATE_LEAVING,
	StateDead:    messenger.Member_STATE_DEAD,
}

var fromWire = map[messenger.Member_State]State{
	messenger.Member_STATE_ALIVE:   StateAlive,
	messenger.Member_STATE_SUSPECT: StateSuspect,
	messenger.Member_STATE_LEAVING: StateLeaving,
	messenger.Member_STATE_DEAD:    StateDead,
}

// Member converts a peer to its message.
func (per Peer) Member() *messenger.Member {
	mem := &messenger.Member{
		Id: per.ID, Address: per.Address, DataCenter: per.DataCenter, Region: per.Region,
		Incarnation: per.Incarnation, Refutation: per.Refutation, State: toWire[per.State], CapacityMilli: per.CapacityMilli,
	}
	if per.Started != per.Incarnation {
		mem.Started = per.Started
	}
	return mem
}

// PeerOf converts a message. A message without an ID or with a state of a
// later protocol gives false.
func PeerOf(mem *messenger.Member) (Peer, bool) {
	sta, ok := fromWire[mem.GetState()]
	if !ok || mem.GetId() == "" {
		return Peer{}, false
	}
	return Peer{
		ID: mem.GetId(), Address: mem.GetAddress(), DataCenter: mem.GetDataCenter(), Region: mem.GetRegion(),
		Incarnation: mem.GetIncarnation(), Started: cmp.Or(mem.GetStarted(), mem.GetIncarnation()), Refutation: mem.GetRefutation(), State: sta,
		CapacityMilli: mem.GetCapacityMilli(),
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

func membersOf(pers []Peer) []*messenger.Member {
	out := make([]*messenger.Member, 0, len(pers))
	for _, per := range pers {
		out = append(out, per.Member())
	}
	return out
}
