package overflower

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/messenger"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_800_000_000, 0)

// TestChoose plays a host of region "own". A line is a digest (region, number,
// engines, wait, age, and full if it is), or a step: refused, silent, or choose
// with the slack and the age of now, which lists the cells that may be chosen.
func TestChoose(t *testing.T) {
	datadriven.RunTest(t, "testdata/choose", func(t *testing.T, dat *datadriven.TestData) string {
		var digs Digests
		var out strings.Builder
		taken := dat.CmdArgs
		for lin := range strings.Lines(dat.Input) {
			fies := strings.Fields(lin)
			switch fies[0] {
			case "refused":
				digs.RecordRefusal(Digest{Region: fies[1], Pool: "p"}, epoch)
			case "silent":
				digs.RecordUnresponsive(fies[1], epoch)
			case "choose":
				wan := Requirements{Pool: "p", OwnRegion: "own", TimeLeft: duration(t, fies[1]), AllowsRegion: func(reg string) bool {
					return len(taken) == 0 || taken[0].Key == reg
				}}
				now := epoch.Add(duration(t, fies[2]))
				see := map[string]bool{}
				for draw := range 16 {
					if dig, ok := Choose(digs.open(now), wan, now, func(below int) int { return draw % below }); ok {
						see[fmt.Sprintf("%s/%d", dig.Region, dig.Number)] = true
					}
				}
				out.WriteString(fmt.Sprint("may choose ", see) + "\n")
			default:
				dig := Digest{Region: fies[0], Pool: "p", Cells: 2, Wait: duration(t, fies[3]), At: epoch.Add(-duration(t, fies[4])), Full: len(fies) > 5}
				_, err := fmt.Sscan(fies[1]+" "+fies[2], &dig.Number, &dig.Engines)
				require.NoError(t, err)
				digs.Merge([]*messenger.CellDigest{dig.message(epoch)}, epoch)
			}
		}
		return out.String()
	})
}

func duration(t *testing.T, txt string) time.Duration {
	dur, err := time.ParseDuration(txt)
	require.NoError(t, err)
	return dur
}
