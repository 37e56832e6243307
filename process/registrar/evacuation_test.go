package registrar

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// plain returns a revision of a store that names no era.
func plain(number uint64) Revision { return Revision{Number: number} }

// parseRevision parses revisions such as 5 and, of era 2, 2/5.
func parseRevision(t *testing.T, word string) Revision {
	era, number, found := strings.Cut(word, "/")
	if !found {
		era, number = "0", word
	}
	var rev Revision
	var err error
	rev.Era, err = strconv.ParseUint(era, 10, 64)
	require.NoError(t, err)
	rev.Number, err = strconv.ParseUint(number, 10, 64)
	require.NoError(t, err)
	return rev
}

func parsePause(t *testing.T, word string) time.Duration {
	pause, err := time.ParseDuration(word)
	require.NoError(t, err)
	return pause
}

// parseEvacuations parses records such as a@3 and a@2/5-, which is lifted.
func parseEvacuations(t *testing.T, words []string) []Evacuation {
	var out []Evacuation
	for _, word := range words {
		dataCenter, rev, _ := strings.Cut(word, "@")
		out = append(out, Evacuation{DataCenter: dataCenter, Revision: parseRevision(t, strings.TrimSuffix(rev, "-")), Lifted: strings.HasSuffix(rev, "-")})
	}
	return out
}

// TestEvacuations runs scripts on two hosts with endpoints in the data centres a and b: changes
// from the store, exchange between hosts in any order, restarts, and evacuations that a host
// learns late, before and after the store has come back from a copy. Each line is a host and what
// happens to it, or a time that passes.
func TestEvacuations(t *testing.T) {
	datadriven.Walk(t, "testdata/evacuations", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			hosts := map[string]*Registry{}
			start := func(name string) {
				hosts[name] = &Registry{Evacuates: true}
				var ends []Endpoint
				for _, dataCenter := range []string{"a", "b"} {
					end := ready("in-"+dataCenter, 1)
					end.DataCenter = dataCenter
					ends = append(ends, end)
				}
				hosts[name].MergeComplete(ends, plain(1), epoch)
			}
			now := epoch
			start("one")
			start("two")
			var out strings.Builder
			for line := range strings.SplitSeq(dat.Input, "\n") {
				words := strings.Fields(line)
				if words[0] == "pass" {
					now = now.Add(parsePause(t, words[1]))
					for _, name := range []string{"one", "two"} {
						fmt.Fprintf(&out, "%s: %s usable %v\n", line, name, ids(hosts[name].Usable("s", now)))
					}
					continue
				}
				reg := hosts[words[0]]
				switch words[1] {
				case "lists":
					reg.MergeCompleteEvacuations(parseEvacuations(t, words[3:]), parseRevision(t, words[2]), now)
				case "reads":
					reg.MergePeerEvacuations(parseEvacuations(t, words[3:]), parseRevision(t, words[2]), now)
				case "learns":
					reg.MergeEvacuations(parseEvacuations(t, words[2:]), now)
				case "pulls":
					evas, rev, known := hosts[words[2]].Evacuations()
					evas = EvacuationsOf(EvacuationMessages(evas))
					if known {
						reg.MergePeerEvacuations(evas, rev, now)
					} else {
						reg.MergeEvacuations(evas, now)
					}
				case "probes":
					// Each host gets the records of the other one, and what that then broadcasts.
					evas, _, _ := reg.Evacuations()
					told := hosts[words[2]].MergeEvacuations(EvacuationsOf(EvacuationMessages(evas)), now)
					evas, _, _ = hosts[words[2]].Evacuations()
					reg.MergeEvacuations(EvacuationsOf(EvacuationMessages(append(evas, told...))), now)
				case "restarts":
					start(words[0])
					reg = hosts[words[0]]
				}
				_, complete := reg.Revision()
				_, find := reg.Find("in-a", now)
				require.Equal(t, find, !reg.KnownUnusable("in-a", now))
				fmt.Fprintf(&out, "%s: complete %t, usable %v\n", line, complete, ids(reg.Usable("s", now)))
			}
			return out.String()
		})
	})
}

// TestEvacuationRecords drops the records of a peer that can't be used, and bounds the others.
func TestEvacuationRecords(t *testing.T) {
	var reg Registry
	for i := range 2 * maxEvacuations {
		reg.MergeEvacuations([]Evacuation{{DataCenter: fmt.Sprint(i), Revision: plain(1)}}, epoch)
	}
	evas, _, _ := reg.Evacuations()
	require.Len(t, evas, maxEvacuations)
	require.Empty(t, EvacuationsOf(EvacuationMessages([]Evacuation{
		{Revision: plain(1)}, {DataCenter: "a"}, {DataCenter: "a", Revision: plain(1 << 63)}, {DataCenter: "a", Revision: Revision{Era: 1 << 63, Number: 1}}, {DataCenter: strings.Repeat("a", 300), Revision: plain(1)},
	})))
}

// TestCountIn counts the endpoints that an evacuation takes calls from.
func TestCountIn(t *testing.T) {
	var reg Registry
	end := ready("a", 1)
	end.DataCenter = "z"
	reg.MergeComplete([]Endpoint{end, ready("b", 1)}, plain(1), epoch)
	reg.MergeEvacuations([]Evacuation{{DataCenter: "z", Revision: plain(2)}}, epoch)
	require.Equal(t, 1, reg.CountIn("z", epoch.Add(time.Second)))
	require.Equal(t, []string{"b"}, ids(reg.Usable("s", epoch)))
}

// TestCold follows endpoints that are cold by their entry, and those of a data centre that is taken
// back after an evacuation.
func TestCold(t *testing.T) {
	const coldStart = 3 * time.Second
	var reg, peer Registry
	cold, warm := ready("cold", 1), ready("warm", 1)
	cold.ColdFor, warm.DataCenter = 2*time.Second, "z"
	reg.MergeComplete([]Endpoint{cold, warm}, plain(1), epoch)
	ends, rev := reg.RecordsAfter(plain(0))
	peer.MergeFromPeer(FromMessage(Message(ends, rev)), rev, epoch)
	at := func(after time.Duration) []bool {
		now := epoch.Add(after)
		return []bool{reg.Cold("cold", coldStart, now), peer.Cold("cold", coldStart, now), reg.Cold("warm", coldStart, now), reg.Cold("unknown", coldStart, now)}
	}
	require.Equal(t, []bool{true, true, false, false}, at(1999*time.Millisecond))
	require.Equal(t, []bool{false, false, false, false}, at(2*time.Second))
	reg.MergeEvacuations([]Evacuation{{DataCenter: "z", Revision: plain(2)}}, epoch.Add(4*time.Second))
	reg.MergeEvacuations([]Evacuation{{DataCenter: "z", Revision: plain(3), Lifted: true}}, epoch.Add(6*time.Second))
	require.Equal(t, []bool{false, false, true, false}, at(8*time.Second))
	require.Equal(t, []bool{false, false, false, false}, at(9*time.Second))
	// The endpoint turns cold again.
	cold.Revision = plain(4)
	reg.Merge([]Endpoint{cold}, plain(4), epoch.Add(20*time.Second))
	require.Equal(t, []bool{true, false, false, false}, at(21*time.Second))
}
