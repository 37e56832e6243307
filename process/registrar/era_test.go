package registrar

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// parseEndpoints parses records such as a@3, a@2/5! of one that leaves, a@2/5- of a removed one, and
// a@2/5* of another process at the same ID.
func parseEndpoints(t *testing.T, words []string) []Endpoint {
	var out []Endpoint
	for _, word := range words {
		id, rev, _ := strings.Cut(word, "@")
		end := ready(id, 0)
		end.Revision = parseRevision(t, strings.TrimRight(rev, "!-*"))
		end.Leaving, end.Gone = strings.Contains(rev, "!"), strings.Contains(rev, "-")
		end.Started, end.ColdFor = epoch.Add(-time.Hour), time.Second
		if strings.Contains(rev, "*") {
			end.Started = epoch
		}
		out = append(out, end)
	}
	return out
}

// TestStoreEras runs scripts on hosts while the store comes back from copies. Each line is a host and
// what happens to it, or a time that passes.
func TestStoreEras(t *testing.T) {
	datadriven.RunTest(t, "testdata/eras", func(t *testing.T, dat *datadriven.TestData) string {
		hosts := map[string]*Registry{}
		now := epoch
		var out strings.Builder
		describe := func(line string, reg *Registry) {
			rev, _ := reg.Revision()
			fmt.Fprintf(&out, "%s: revision %d/%d, usable %v", line, rev.Era, rev.Number, ids(reg.Usable("s", now)))
			if cha, ok := reg.TakeEraChange(); ok {
				fmt.Fprintf(&out, ", new era after %d/%d, %d removed", cha.Old.Era, cha.Old.Number, cha.Removed)
			}
			fmt.Fprintln(&out)
		}
		for line := range strings.SplitSeq(dat.Input, "\n") {
			words := strings.Fields(line)
			if words[0] == "pass" {
				now = now.Add(parsePause(t, words[1]))
				for _, name := range words[2:] {
					describe(words[0]+" "+words[1]+" "+name, hosts[name])
				}
				continue
			}
			if hosts[words[0]] == nil {
				hosts[words[0]] = &Registry{}
			}
			reg := hosts[words[0]]
			var changed []Endpoint
			switch words[1] {
			case "lists":
				rev := parseRevision(t, words[2])
				changed = reg.MergeComplete(parseEndpoints(t, words[3:]), rev, now)
				reg.Confirm(rev, now)
			case "watches":
				rev := parseRevision(t, words[2])
				changed = reg.Merge(parseEndpoints(t, words[3:]), rev, now)
				reg.Confirm(rev, now)
			case "gets":
				changed = reg.Merge(parseEndpoints(t, words[2:]), Revision{}, now)
			case "pulls":
				have, _ := reg.Revision()
				ends, rev := hosts[words[2]].RecordsAfter(have)
				pus := Message(ends, rev)
				changed = reg.MergeFromPeer(FromMessage(pus), Revision{Era: pus.GetEra(), Number: pus.GetRevision()}, now)
				reg.Confirm(rev, now)
			case "marks":
				reg.MarkLeaving(parseEndpoints(t, words[2:])[0])
			case "restarts":
				*reg = Registry{}
			}
			describe(fmt.Sprintf("%s (%d changed)", line, len(changed)), reg)
			require.LessOrEqual(t, now.Sub(reg.Confirmed()), now.Sub(epoch.Add(-time.Hour)))
		}
		return out.String()
	})
}

// TestColdAcrossEras guards against endpoints that count as cold anew whenever the store comes back
// from a copy, since their entries are read as new ones.
func TestColdAcrossEras(t *testing.T) {
	var reg Registry
	cold := parseEndpoints(t, []string{"a@1/5"})
	reg.MergeComplete(cold, Revision{Era: 1, Number: 6}, epoch)
	require.True(t, reg.Cold("a", 0, epoch.Add(999*time.Millisecond)))
	reg.MergeComplete(parseEndpoints(t, []string{"a@2/5"}), Revision{Era: 2, Number: 6}, epoch.Add(5*time.Second))
	require.False(t, reg.Cold("a", 0, epoch.Add(5*time.Second)))
	reg.MergeComplete(parseEndpoints(t, []string{"a@3/5*"}), Revision{Era: 3, Number: 6}, epoch.Add(9*time.Second))
	require.True(t, reg.Cold("a", 0, epoch.Add(9*time.Second)), "another process")
}

// TestConfirmedInLaterEra guards against a host that never counts as confirmed, and reads the store
// without end, since the store's revision is below its own after a return from a copy.
func TestConfirmedInLaterEra(t *testing.T) {
	var reg Registry
	reg.MergeComplete(nil, Revision{Era: 1, Number: 20}, epoch)
	reg.Confirm(Revision{Era: 1, Number: 20}, epoch)
	at := epoch.Add(5 * time.Second)
	reg.MergeComplete(nil, Revision{Era: 2, Number: 9}, at)
	reg.Confirm(Revision{Era: 2, Number: 9}, at)
	require.Equal(t, at, reg.Confirmed())
	reg.Confirm(Revision{Era: 1, Number: 30}, at.Add(time.Second))
	require.Equal(t, at, reg.Confirmed(), "a peer that slept through the return confirms nothing")
}
