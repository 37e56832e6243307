package ejector

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

var pool = []string{"a", "b", "c", "d"}

// TestEjections plays failures and successes of a pool's endpoints a to d and prints the
// excluded endpoints. With the word elsewhere, requests can be served without the pool.
func TestEjections(t *testing.T) {
	epoch := time.Unix(1_800_000_000, 0)
	at := func(offset string) time.Time {
		after, err := time.ParseDuration(offset)
		require.NoError(t, err)
		return epoch.Add(after)
	}
	datadriven.RunTest(t, "testdata/ejections", func(t *testing.T, dat *datadriven.TestData) string {
		var eje Ejector
		var out strings.Builder
		for line := range strings.Lines(dat.Input) {
			fields := strings.Fields(line)
			switch fields[0] {
			case "fail":
				eje.RecordFailure(fields[1], at(fields[2]))
			case "ok":
				eje.RecordSuccess(fields[1])
			case "excluded":
				got := eje.Excluded(len(pool), len(fields) > 2, func(id string) bool { return slices.Contains(pool, id) }, at(fields[1]))
				slices.Sort(got)
				if len(got) == 0 {
					got = []string{"-"}
				}
				out.WriteString("excluded: " + strings.Join(got, " ") + "\n")
			default:
				t.Fatalf("unknown step %q", line)
			}
		}
		return out.String()
	})
}
