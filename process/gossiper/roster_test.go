package gossiper

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	subject    = "subject"
	subjectInc = 5
	subjectRef = 1
)

// The regions that the subject can be in: that of the host, another one with
// other live hosts, another one with none, and one that can't be reached.
var regions = []string{"near", "far", "thin", "cut"}

var states = []string{"None", "Listed", "Alive", "Unreachable", "Suspect", "Leaving", "Dead"}

// cases are the events of the matrix, in the order of the data file.
var cases = []struct {
	name string
	// after is the time that passes before the event.
	after time.Duration
	event func(sub Peer) Event
}{
	{"Missed", 0, func(Peer) Event { return ProbeFailed{subject} }},
	{"Unreached", 0, func(Peer) Event { return IndirectProbeFailed{subject} }},
	{"Reached", 0, func(sub Peer) Event { return Received{From: sub.is(StateAlive), DialAddress: "proxy"} }},
	{"Called", 0, func(sub Peer) Event { return Received{From: sub.is(StateAlive)} }},
	{"ReachedRefuted", 0, func(sub Peer) Event { return Received{From: sub.is(StateAlive).refuted(), DialAddress: "proxy"} }},
	{"ReachedRestarted", 0, func(sub Peer) Event { return Received{From: sub.is(StateAlive).restarted(1), DialAddress: "proxy"} }},
	{"ReachedOlder", 0, func(sub Peer) Event { return Received{From: sub.is(StateAlive).restarted(-1), DialAddress: "direct"} }},
	{"ReachedOlderElsewhere", 0, func(sub Peer) Event { return Received{From: sub.is(StateAlive).restarted(-1), DialAddress: "proxy"} }},
	{"CalledOlder", 0, func(sub Peer) Event { return Received{From: sub.is(StateAlive).restarted(-1)} }},
	{"ToldAlive", 0, func(sub Peer) Event { return told(sub.is(StateAlive)) }},
	{"ToldSuspect", 0, func(sub Peer) Event { return told(sub.is(StateSuspect)) }},
	{"ToldDead", 0, func(sub Peer) Event { return told(sub.is(StateDead)) }},
	{"ToldLeaving", 0, func(sub Peer) Event { return told(sub.is(StateLeaving)) }},
	{"ToldRefuted", 0, func(sub Peer) Event { return told(sub.is(StateAlive).refuted()) }},
	{"ToldRestarted", 0, func(sub Peer) Event { return told(sub.is(StateAlive).restarted(1)) }},
	{"ToldOlderDead", 0, func(sub Peer) Event { return told(sub.is(StateDead).restarted(-1)) }},
	{"ListedStays", 0, func(sub Peer) Event { return Listed{[]Peer{sub}} }},
	{"ListedLeaving", 0, func(sub Peer) Event { return Listed{[]Peer{sub.is(StateLeaving)}} }},
	{"ListedNoMore", 0, func(Peer) Event { return Listed{} }},
	{"SuspicionTimesOut", 5 * time.Second, func(Peer) Event { return Tick{} }},
	{"LongAfter", time.Hour, func(Peer) Event { return Tick{} }},
}

func (per Peer) is(sta State) Peer { per.State = sta; return per }
func (per Peer) refuted() Peer     { per.Refutation++; return per }
func (per Peer) restarted(by int) Peer {
	per.Incarnation = uint64(int(per.Incarnation) + by)
	per.Refutation = 0
	return per
}
func told(per Peer) Event { return Received{Updates: []Peer{per}} }

// rosterWith builds a roster that holds a subject in a state and region.
func rosterWith(sta, reg string) (*Roster, Peer) {
	ros := &Roster{Self: Peer{ID: "self", Region: "near", State: StateAlive, Incarnation: 1}, Random: rand.New(rand.NewPCG(1, 2))}
	for _, id := range []string{"near-1", "near-2", "far-1", "far-2"} {
		ros.Step(Received{From: Peer{ID: id, Region: id[:len(id)-2], State: StateAlive, Incarnation: 1}, DialAddress: id}, epoch)
	}
	sub := Peer{ID: subject, Address: "direct", Region: reg, Incarnation: subjectInc, Refutation: subjectRef}
	switch sta {
	case "None":
	case "Listed":
		ros.Step(Listed{[]Peer{sub}}, epoch)
	case "Unreachable":
		ros.Step(told(sub.is(StateAlive)), epoch)
		ros.members[subject].unreachable = true
	default:
		ros.Step(told(sub.is(StateAlive)), epoch)
		ros.Step(told(sub.is(State(sta))), epoch)
	}
	if reg == "cut" {
		ros.regions[reg] = cutAfter
	}
	return ros, sub
}

// describe prints what a roster holds of the subject, and what it does.
func describe(ros *Roster, acts []Action) string {
	out := "None"
	if mem := ros.members[subject]; mem != nil {
		out = fmt.Sprintf("%s inc=%d ref=%d", mem.State, mem.Incarnation, mem.Refutation)
		if ros.live(mem) {
			out += " live"
		}
	}
	for _, act := range acts {
		switch act := act.(type) {
		case StateChange:
			out += fmt.Sprintf(" note(%s to %s)", act.Old, act.New)
		case IndirectProbe:
			out += fmt.Sprintf(" probe via %d", len(act.Relays))
		case Probe:
		}
	}
	if ros.pending[subject] > 0 {
		out += " pass on"
	}
	return out
}

// TestMembershipMatrix runs every event in every state and region. The data
// file holds a directive for each state and region, with a line for each event.
func TestMembershipMatrix(t *testing.T) {
	see := map[string]bool{}
	datadriven.RunTest(t, "testdata/membership", func(t *testing.T, dat *datadriven.TestData) string {
		var sta, reg string
		dat.ScanArgs(t, "state", &sta)
		dat.ScanArgs(t, "region", &reg)
		require.False(t, see[sta+reg], "the cell stands twice")
		see[sta+reg] = true
		var bui strings.Builder
		for _, cas := range cases {
			ros, sub := rosterWith(sta, reg)
			clear(ros.pending)
			acts := ros.Step(cas.event(sub), epoch.Add(cas.after))
			fmt.Fprintf(&bui, "%s: %s\n", cas.name, describe(ros, acts))
		}
		return bui.String()
	})
	for _, sta := range states {
		for _, reg := range regions {
			require.True(t, see[sta+reg], "no cell for state %s in region %s", sta, reg)
		}
	}
}
