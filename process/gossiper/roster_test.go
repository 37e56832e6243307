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
	subject            = "subject"
	subjectIncarnation = 5
	subjectRefutation  = 1
)

// regions are the regions of the subject: near is that of the host, far another region with
// live hosts, thin a region without other hosts, and cut an unreachable region.
var regions = []string{"near", "far", "thin", "cut"}

var states = []string{"None", "Listed", "Alive", "Unreachable", "Suspect", "Leaving", "Dead"}

// matrixEvents are the events of the matrix, in the order of the data file. Missed and
// Unreached are failed direct and indirect probes. In Reached events the subject replies to
// this host, in Called events it calls this host. Told events are reports of another host.
var matrixEvents = []struct {
	name string
	// after is the time that passes before the event.
	after time.Duration
	event func(sub Peer) Event
}{
	{"Missed", 0, func(Peer) Event { return ProbeFailed{subject} }},
	{"Unreached", 0, func(Peer) Event { return IndirectProbeFailed{subject} }},
	{"Reached", 0, func(sub Peer) Event { return Received{From: sub.withState(StateAlive), DialAddress: "proxy"} }},
	{"Called", 0, func(sub Peer) Event { return Received{From: sub.withState(StateAlive)} }},
	{"ReachedRefuted", 0, func(sub Peer) Event { return Received{From: sub.withState(StateAlive).refuted(), DialAddress: "proxy"} }},
	{"ReachedRestarted", 0, func(sub Peer) Event {
		return Received{From: sub.withState(StateAlive).shiftIncarnation(1), DialAddress: "proxy"}
	}},
	{"ReachedOlder", 0, func(sub Peer) Event {
		return Received{From: sub.withState(StateAlive).shiftIncarnation(-1), DialAddress: "direct"}
	}},
	{"ReachedOlderElsewhere", 0, func(sub Peer) Event {
		return Received{From: sub.withState(StateAlive).shiftIncarnation(-1), DialAddress: "proxy"}
	}},
	{"CalledOlder", 0, func(sub Peer) Event { return Received{From: sub.withState(StateAlive).shiftIncarnation(-1)} }},
	{"ToldAlive", 0, func(sub Peer) Event { return reported(sub.withState(StateAlive)) }},
	{"ToldSuspect", 0, func(sub Peer) Event { return reported(sub.withState(StateSuspect)) }},
	{"ToldDead", 0, func(sub Peer) Event { return reported(sub.withState(StateDead)) }},
	{"ToldLeaving", 0, func(sub Peer) Event { return reported(sub.withState(StateLeaving)) }},
	{"ToldRefuted", 0, func(sub Peer) Event { return reported(sub.withState(StateAlive).refuted()) }},
	{"ToldRestarted", 0, func(sub Peer) Event { return reported(sub.withState(StateAlive).shiftIncarnation(1)) }},
	{"ToldOlderDead", 0, func(sub Peer) Event { return reported(sub.withState(StateDead).shiftIncarnation(-1)) }},
	{"ListedStays", 0, func(sub Peer) Event { return Listed{[]Peer{sub}} }},
	{"ListedLeaving", 0, func(sub Peer) Event { return Listed{[]Peer{sub.withState(StateLeaving)}} }},
	{"ListedNoMore", 0, func(Peer) Event { return Listed{} }},
	{"SuspicionTimesOut", 5 * time.Second, func(Peer) Event { return Tick{} }},
	{"LongAfter", time.Hour, func(Peer) Event { return Tick{} }},
}

func (per Peer) withState(sta State) Peer { per.State = sta; return per }
func (per Peer) refuted() Peer            { per.Refutation++; return per }

// shiftIncarnation returns the peer as a later process (by > 0) or an earlier one (by < 0).
func (per Peer) shiftIncarnation(by int) Peer {
	per.Incarnation = uint64(int(per.Incarnation) + by)
	per.Refutation = 0
	return per
}
func reported(per Peer) Event { return Received{Updates: []Peer{per}} }

// rosterWith returns a roster that holds the subject in a state and region, and the subject.
func rosterWith(state, region string) (*Roster, Peer) {
	ros := &Roster{Self: Peer{ID: "self", Region: "near", State: StateAlive, Incarnation: 1}, Random: rand.New(rand.NewPCG(1, 2))}
	for _, id := range []string{"near-1", "near-2", "far-1", "far-2"} {
		ros.Step(Received{From: Peer{ID: id, Region: id[:len(id)-2], State: StateAlive, Incarnation: 1}, DialAddress: id}, epoch)
	}
	sub := Peer{ID: subject, Address: "direct", Region: region, Incarnation: subjectIncarnation, Refutation: subjectRefutation}
	switch state {
	case "None":
	case "Listed":
		ros.Step(Listed{[]Peer{sub}}, epoch)
	case "Unreachable":
		ros.Step(reported(sub.withState(StateAlive)), epoch)
		ros.members[subject].unreachable = true
	default:
		ros.Step(reported(sub.withState(StateAlive)), epoch)
		ros.Step(reported(sub.withState(State(state))), epoch)
	}
	if region == "cut" {
		ros.regionFailures[region] = regionUnreachableAfter
	}
	return ros, sub
}

// describe prints the roster's entry for the subject and the resulting actions.
func describe(ros *Roster, acts []Action) string {
	out := "None"
	if mem := ros.members[subject]; mem != nil {
		out = fmt.Sprintf("%s inc=%d ref=%d", mem.State, mem.Incarnation, mem.Refutation)
		if ros.isLive(mem) {
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

// TestMembershipMatrix applies every event in every state and region. It guards against
// hosts that the wrong event declares dead or live, and against reports that are not
// forwarded. The data file has a directive for each state and region, with a line for each
// event.
func TestMembershipMatrix(t *testing.T) {
	seen := map[string]bool{}
	datadriven.RunTest(t, "testdata/membership", func(t *testing.T, dat *datadriven.TestData) string {
		var state, region string
		dat.ScanArgs(t, "state", &state)
		dat.ScanArgs(t, "region", &region)
		require.False(t, seen[state+region], "duplicate directive")
		seen[state+region] = true
		var out strings.Builder
		for _, tc := range matrixEvents {
			ros, sub := rosterWith(state, region)
			clear(ros.pending)
			acts := ros.Step(tc.event(sub), epoch.Add(tc.after))
			fmt.Fprintf(&out, "%s: %s\n", tc.name, describe(ros, acts))
		}
		return out.String()
	})
	for _, state := range states {
		for _, region := range regions {
			require.True(t, seen[state+region], "no directive for state %s in region %s", state, region)
		}
	}
}
