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

func TestEjections(t *testing.T) {
	epoch := time.Unix(1_800_000_000, 0)
	at := func(txt string) time.Time {
		dur, err := time.ParseDuration(txt)
		require.NoError(t, err)
		return epoch.Add(dur)
	}
	datadriven.RunTest(t, "testdata/ejections", func(t *testing.T, dat *datadriven.TestData) string {
		var eje Ejector
		var out strings.Builder
		for lin := range strings.Lines(dat.Input) {
			fies := strings.Fields(lin)
			switch fies[0] {
			case "fail":
				eje.RecordFailure(fies[1], at(fies[2]))
			case "ok":
				eje.RecordSuccess(fies[1])
			case "excluded":
				got := eje.Excluded(len(pool), len(fies) > 2, func(id string) bool { return slices.Contains(pool, id) }, at(fies[1]))
				slices.Sort(got)
				if len(got) == 0 {
					got = []string{"-"}
				}
				out.WriteString("excluded: " + strings.Join(got, " ") + "\n")
			default:
				t.Fatalf("unknown step %q", lin)
			}
		}
		return out.String()
	})
}
