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

// fleet is what the membership and the host itself know.
type fleet struct {
	incarnations map[string]uint64
	dead         map[string]time.Time
	own          map[string]int
}

func (fle fleet) Incarnation(host string) (uint64, bool) {
	inc, ok := fle.incarnations[host]
	return inc, ok
}

func (fle fleet) DeadSince(host string) (time.Time, bool) {
	sin, ok := fle.dead[host]
	return sin, ok
}

func (fle fleet) Attempt(id string) (int, bool) {
	att, ok := fle.own[id]
	return att, ok
}

func newFleet() fleet {
	return fleet{map[string]uint64{}, map[string]time.Time{}, map[string]int{}}
}

// holding reads one line: kind, owner, incarnation, request, attempt and times.
func holding(t *testing.T, lin string) invoker.Sequence {
	seq := invoker.Sequence{ExpiresMs: 60_000}
	_, err := fmt.Sscan(lin, &seq.Kind, &seq.Owner.Host, &seq.Owner.Incarnation, &seq.RequestID, &seq.Attempt, &seq.AgeMs, &seq.IdleMs, &seq.ExpiresMs, &seq.Detached)
	require.NoError(t, err, lin)
	if seq.Kind == "Reservation" {
		seq.ID = "hold-" + seq.RequestID
	}
	return seq
}

// TestDecide reads the knowledge of host-a, incarnation 5, and an engine's
// report from data files.
func TestDecide(t *testing.T) {
	datadriven.RunTest(t, "testdata/decide", func(t *testing.T, dat *datadriven.TestData) string {
		fle := newFleet()
		for _, arg := range dat.CmdArgs {
			var num int
			arg.Scan(t, 1, &num)
			switch arg.Key {
			case "incarnation":
				fle.incarnations[arg.Vals[0]] = uint64(num)
			case "dead":
				fle.dead[arg.Vals[0]] = now.Add(-time.Duration(num) * time.Second)
			case "own":
				fle.own[arg.Vals[0]] = num
			}
		}
		rep := Report{Endpoint: "engine-0", At: now}
		for lin := range strings.Lines(dat.Input) {
			rep.Load.Sequences = append(rep.Load.Sequences, holding(t, lin))
		}
		rec := &Reclaimer{Self: invoker.Owner{Host: "host-a", Incarnation: 5}}
		var out []string
		for _, act := range rec.Decide(rep, fle, fle, now) {
			out = append(out, text(act))
		}
		if len(out) == 0 {
			return "keep"
		}
		return strings.Join(out, "\n")
	})
}

func text(act Action) string {
	switch act := act.(type) {
	case Free:
		return fmt.Sprintf("free %s %s/%d: %s", act.Free.Kind, act.Free.RequestID, act.Free.Attempt, act.Reason)
	case Query:
		var ids []string
		for _, fre := range act.Holdings {
			ids = append(ids, fre.Free.RequestID)
		}
		return fmt.Sprintf("ask %s/%d about %s", act.Host, act.Incarnation, strings.Join(ids, " "))
	}
	return ""
}

func TestAnswered(t *testing.T) {
	ask := Query{Host: "host-b", Incarnation: 3, Holdings: []Free{
		{Free: invoker.Free{RequestID: "old", Attempt: 1}},
		{Free: invoker.Free{RequestID: "new", Attempt: 2}},
		{Free: invoker.Free{RequestID: "gone", Attempt: 1}},
	}}
	known := map[string]int{"old": 2, "new": 2}
	tts := []struct {
		incarnation uint64
		want        []Reason
	}{
		{2, nil},
		{3, []Reason{Abandoned, Disowned}},
		{4, []Reason{Replaced, Replaced, Replaced}},
	}
	for _, tt := range tts {
		var got []Reason
		for _, fre := range ResolveQuery(ask, Answer{Incarnation: tt.incarnation, Known: known}) {
			got = append(got, fre.Reason)
		}
		require.Equal(t, tt.want, got)
	}
}

// TestDutyMovesOnlyFromTheLost checks that an engine changes hands only when
// the host that looked after it is gone.
func TestDutyMovesOnlyFromTheLost(t *testing.T) {
	hosts := []string{"host-0", "host-1", "host-2", "host-3", "host-4"}
	counts := map[string]int{}
	all, less := NewAssignment(hosts), NewAssignment(hosts[:4])
	for ind := range 1000 {
		eng := fmt.Sprintf("engine-%d", ind)
		bef := all.HostOf(eng)
		counts[bef]++
		if aft := less.HostOf(eng); bef != "host-4" {
			require.Equal(t, bef, aft)
		}
	}
	for _, hos := range hosts {
		require.InDelta(t, 200, counts[hos], 60)
	}
}

// BenchmarkDecide judges one report of 200 sequences, none of them lost.
func BenchmarkDecide(b *testing.B) {
	fle := newFleet()
	rep := Report{Endpoint: "engine-0", At: now}
	for ind := range 200 {
		hos := fmt.Sprintf("host-%d", ind%40)
		fle.incarnations[hos] = 1
		rep.Load.Sequences = append(rep.Load.Sequences, invoker.Sequence{
			RequestID: fmt.Sprintf("request-%d", ind), Attempt: 1, Owner: invoker.Owner{Host: hos, Incarnation: 1}, AgeMs: 9000, ExpiresMs: 9000,
		})
	}
	rec := &Reclaimer{Self: invoker.Owner{Host: "self", Incarnation: 1}}
	b.ReportAllocs()
	for b.Loop() {
		rec.Decide(rep, fle, fle, now)
	}
}

// BenchmarkDuties shares 10,000 engines over 920 hosts, once a round.
func BenchmarkDuties(b *testing.B) {
	for _, hosts := range []int{20, 230, 920} {
		b.Run(fmt.Sprintf("%d-hosts", hosts), func(b *testing.B) {
			var nams, engs []string
			for ind := range hosts {
				nams = append(nams, fmt.Sprintf("host-%d", ind))
			}
			for ind := range 10_000 {
				engs = append(engs, fmt.Sprintf("engine-%d", ind))
			}
			for b.Loop() {
				dut := NewAssignment(nams)
				for _, eng := range engs {
					dut.HostOf(eng)
				}
			}
		})
	}
}
