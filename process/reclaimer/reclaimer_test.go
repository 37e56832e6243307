package reclaimer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/invoker"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

var now = time.Unix(1_700_000_000, 0)

// fixture implements Members and LocalRequests.
type fixture struct {
	incarnations  map[string]uint64
	dead          map[string]time.Time
	localAttempts map[string]int
}

func (fix fixture) Incarnation(host string) (uint64, bool) {
	incarnation, ok := fix.incarnations[host]
	return incarnation, ok
}

func (fix fixture) DeadSince(host string) (time.Time, bool) {
	since, ok := fix.dead[host]
	return since, ok
}

func (fix fixture) Attempt(id string) (int, bool) {
	attempt, ok := fix.localAttempts[id]
	return attempt, ok
}

func newFixture() fixture {
	return fixture{map[string]uint64{}, map[string]time.Time{}, map[string]int{}}
}

// parseHolding parses a line of kind, owner, incarnation, request, attempt, age, idle
// time, time until expiry and whether the request is detached.
func parseHolding(t *testing.T, line string) invoker.MemoryHolder {
	seq := invoker.MemoryHolder{ExpiresMs: 60_000}
	_, err := fmt.Sscan(line, &seq.Kind, &seq.Owner.Host, &seq.Owner.Incarnation, &seq.RequestID, &seq.Attempt, &seq.AgeMs, &seq.IdleMs, &seq.ExpiresMs, &seq.Detached)
	require.NoError(t, err, line)
	if seq.Kind == "Reservation" {
		seq.ID = "hold-" + seq.RequestID
	}
	return seq
}

// TestDecide checks that memory is freed only if its owner can no longer use it. A case
// has the state of the hosts in the view of host-a, incarnation 5, and an engine's
// report.
func TestDecide(t *testing.T) {
	datadriven.RunTest(t, "testdata/decide", func(t *testing.T, dat *datadriven.TestData) string {
		fix := newFixture()
		for _, arg := range dat.CmdArgs {
			var n int
			arg.Scan(t, 1, &n)
			switch arg.Key {
			case "incarnation":
				fix.incarnations[arg.Vals[0]] = uint64(n)
			case "dead":
				fix.dead[arg.Vals[0]] = now.Add(-time.Duration(n) * time.Second)
			case "own":
				fix.localAttempts[arg.Vals[0]] = n
			}
		}
		rep := Report{Endpoint: "engine-0", At: now}
		for line := range strings.Lines(dat.Input) {
			rep.Load.Sequences = append(rep.Load.Sequences, parseHolding(t, line))
		}
		rec := &Reclaimer{Self: invoker.Owner{Host: "host-a", Incarnation: 5}}
		var out []string
		for _, act := range rec.Decide(rep, fix, fix, now) {
			out = append(out, formatAction(act))
		}
		if len(out) == 0 {
			return "keep"
		}
		return strings.Join(out, "\n")
	})
}

func formatAction(act Action) string {
	switch act := act.(type) {
	case Free:
		return fmt.Sprintf("free %s %s/%d: %s", act.Holding.Kind, act.Holding.RequestID, act.Holding.Attempt, act.Reason)
	case Query:
		var ids []string
		for _, fre := range act.Holdings {
			ids = append(ids, fre.Holding.RequestID)
		}
		return fmt.Sprintf("ask %s/%d about %s", act.Host, act.Incarnation, strings.Join(ids, " "))
	}
	return ""
}

// TestResolveQuery checks that the answer of an older process than the owner frees
// nothing, and that the answer of a newer process frees all holdings of the owner.
func TestResolveQuery(t *testing.T) {
	que := Query{Host: "host-b", Incarnation: 3, Holdings: []Free{
		{Holding: invoker.FreeRequest{RequestID: "old", Attempt: 1}},
		{Holding: invoker.FreeRequest{RequestID: "new", Attempt: 2}},
		{Holding: invoker.FreeRequest{RequestID: "gone", Attempt: 1}},
	}}
	known := map[string]int{"old": 2, "new": 2}
	tts := []struct {
		incarnation uint64
		want        []Reason
	}{
		// An older process, the owner itself and a newer process.
		{2, nil},
		{3, []Reason{Abandoned, Disowned}},
		{4, []Reason{Replaced, Replaced, Replaced}},
	}
	for _, tt := range tts {
		var got []Reason
		for _, fre := range ResolveQuery(que, Answer{Incarnation: tt.incarnation, InProgress: known}) {
			got = append(got, fre.Reason)
		}
		require.Equal(t, tt.want, got)
	}
}

// TestAssignmentChangesOnlyForRemovedHost checks that an engine is assigned to another
// host only if its own host was removed, and that engines are spread evenly.
func TestAssignmentChangesOnlyForRemovedHost(t *testing.T) {
	hosts := []string{"host-0", "host-1", "host-2", "host-3", "host-4"}
	counts := map[string]int{}
	all, fewer := NewAssignment(hosts), NewAssignment(hosts[:4])
	for i := range 1000 {
		eng := fmt.Sprintf("engine-%d", i)
		before := all.HostOf(eng)
		counts[before]++
		if after := fewer.HostOf(eng); before != "host-4" {
			require.Equal(t, before, after)
		}
	}
	for _, host := range hosts {
		require.InDelta(t, 200, counts[host], 60)
	}
}

// BenchmarkDecide measures a report of 200 sequences, of which none is to be freed.
func BenchmarkDecide(b *testing.B) {
	fix := newFixture()
	rep := Report{Endpoint: "engine-0", At: now}
	for i := range 200 {
		host := fmt.Sprintf("host-%d", i%40)
		fix.incarnations[host] = 1
		rep.Load.Sequences = append(rep.Load.Sequences, invoker.MemoryHolder{
			RequestID: fmt.Sprintf("request-%d", i), Attempt: 1, Owner: invoker.Owner{Host: host, Incarnation: 1}, AgeMs: 9000, ExpiresMs: 9000,
		})
	}
	rec := &Reclaimer{Self: invoker.Owner{Host: "self", Incarnation: 1}}
	b.ReportAllocs()
	for b.Loop() {
		rec.Decide(rep, fix, fix, now)
	}
}

// BenchmarkAssignment measures the assignment of 10,000 engines to 20, 230 and 920 hosts.
func BenchmarkAssignment(b *testing.B) {
	for _, hosts := range []int{20, 230, 920} {
		b.Run(fmt.Sprintf("%d-hosts", hosts), func(b *testing.B) {
			var hostIDs, engineIDs []string
			for i := range hosts {
				hostIDs = append(hostIDs, fmt.Sprintf("host-%d", i))
			}
			for i := range 10_000 {
				engineIDs = append(engineIDs, fmt.Sprintf("engine-%d", i))
			}
			for b.Loop() {
				asn := NewAssignment(hostIDs)
				for _, eng := range engineIDs {
					asn.HostOf(eng)
				}
			}
		})
	}
}
