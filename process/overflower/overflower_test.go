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

// TestChoose checks that no request goes to its own region, to a full, refusing or
// unresponsive cell, or to a cell whose wait is too long. It runs the cases of a data
// file for a host of region "own". A line is either a digest (region, number, engines,
// wait, age, and "full" if the cell is full) or a step: refused, silent, or choose with
// the remaining time and the time passed since the epoch. The output lists the cells
// that may be chosen; both draws are equal, so that costs do not matter.
func TestChoose(t *testing.T) {
	datadriven.RunTest(t, "testdata/choose", func(t *testing.T, dat *datadriven.TestData) string {
		var digs Digests
		var out strings.Builder
		allowed := dat.CmdArgs
		for line := range strings.Lines(dat.Input) {
			fields := strings.Fields(line)
			switch fields[0] {
			case "refused":
				digs.RecordRefusal(Digest{Region: fields[1], Pool: "p"}, epoch)
			case "silent":
				digs.RecordUnresponsive(fields[1], epoch.Add(parseDuration(t, fields[2])))
			case "answered":
				digs.RecordAnswer(fields[1])
			case "choose":
				rqs := Requirements{Pool: "p", OwnRegion: "own", TimeLeft: parseDuration(t, fields[1]), AllowsRegion: func(region string) bool {
					return len(allowed) == 0 || allowed[0].Key == region
				}}
				now := epoch.Add(parseDuration(t, fields[2]))
				chosen := map[string]bool{}
				for draw := range 16 {
					if dig, ok := Choose(digs.available(now), rqs, now, func(below int) int { return draw % below }); ok {
						chosen[fmt.Sprintf("%s/%d", dig.Region, dig.Number)] = true
					}
				}
				out.WriteString(fmt.Sprint("may choose ", chosen) + "\n")
			default:
				dig := Digest{Region: fields[0], Pool: "p", Cells: 2, Wait: parseDuration(t, fields[3]), At: epoch.Add(-parseDuration(t, fields[4])), Full: len(fields) > 5}
				_, err := fmt.Sscan(fields[1]+" "+fields[2], &dig.Number, &dig.Engines)
				require.NoError(t, err)
				digs.Merge([]*messenger.CellDigest{dig.toMessage(epoch)}, epoch)
			}
		}
		return out.String()
	})
}

func parseDuration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	require.NoError(t, err)
	return d
}
