package journaler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/messenger"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// parseChange reads a line such as "claim a body=x nonce=n1 time=0".
func parseChange(t *testing.T, line string) *messenger.ClaimCommit {
	t.Helper()
	fis := strings.Fields(line)
	com := &messenger.ClaimCommit{Key: fis[1], BodyDigest: []byte("x"), Host: "host-0", KeyTimeMs: epoch.UnixMilli()}
	ste, ok := messenger.ClaimCommit_Step_value["STEP_"+strings.ToUpper(fis[0])]
	require.True(t, ok, line)
	com.Step = messenger.ClaimCommit_Step(ste)
	for _, fie := range fis[2:] {
		nam, val, _ := strings.Cut(fie, "=")
		switch nam {
		case "body":
			com.BodyDigest = []byte(val)
		case "nonce":
			com.Nonce = val
		case "time":
			dur, err := time.ParseDuration(val)
			require.NoError(t, err)
			com.KeyTimeMs = epoch.Add(dur).UnixMilli()
		case "outcome":
			com.Outcome = &messenger.Outcome{Status: 200, Body: []byte(val)}
		default:
			require.Fail(t, "unknown field", line)
		}
	}
	return com
}

func formatShard(sha *Shard) string {
	var lins []string
	for _, cla := range sha.claims {
		lins = append(lins, fmt.Sprintf("%s %s nonce=%s status=%d body=%q truncated=%v\n", cla.Key, [...]string{"held", "finished", "released"}[cla.State],
			cla.Nonce, cla.Outcome.GetStatus(), cla.Outcome.GetBody(), cla.Outcome.GetTruncated()))
	}
	slices.Sort(lins)
	if sha.forgottenMs != 0 {
		lins = append(lins, "forgotten "+time.UnixMilli(sha.forgottenMs).Sub(epoch).String()+"\n")
	}
	return strings.Join(lins, "")
}

func formatResult(res *messenger.ClaimResult) string {
	out := strings.TrimPrefix(res.GetState().String(), "STATE_")
	if res.GetOutcome() != nil {
		out += fmt.Sprintf(" status=%d body=%q", res.GetOutcome().GetStatus(), res.GetOutcome().GetBody())
	}
	if res.GetMessage() != "" {
		out += ": " + res.GetMessage()
	}
	return out
}

// clone returns a shard with the same claims, by way of a segment.
func clone(t testing.TB, sha *Shard) *Shard {
	t.Helper()
	val, err := segment{number: 7, through: 8, delta: Delta{sha.forgottenMs, sha.bodilessMs, sha.claims}}.encode()
	require.NoError(t, err)
	seg, err := decodeSegment(val)
	require.NoError(t, err)
	require.Equal(t, []uint64{7, 8}, []uint64{seg.number, seg.through})
	out := &Shard{}
	out.take(seg.delta)
	return out
}

// requireCodec checks the segment of a shard and the entry that leads to it.
func requireCodec(t *testing.T, old, nex *Shard, del Delta) {
	t.Helper()
	val, err := entry{8, del}.encode()
	require.NoError(t, err)
	ent, err := decodeEntry(val)
	require.NoError(t, err)
	require.Equal(t, uint64(8), ent.seq)
	old.take(ent.delta)
	for _, dec := range []*Shard{clone(t, nex), old} {
		require.Equal(t, formatShard(nex), formatShard(dec))
		require.Equal(t, []int{nex.bytes, nex.answers}, []int{dec.bytes, dec.answers})
	}
}

func TestShard(t *testing.T) {
	datadriven.Walk(t, "testdata/shard", func(t *testing.T, path string) {
		sha := &Shard{}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			at := 0 * time.Second
			if td.HasArg("at") {
				var txt string
				td.ScanArgs(t, "at", &txt)
				var err error
				at, err = time.ParseDuration(txt)
				require.NoError(t, err)
			}
			var coms []*messenger.ClaimCommit
			for line := range strings.Lines(td.Input) {
				coms = append(coms, parseChange(t, line))
			}
			was := formatShard(sha)
			old := clone(t, sha)
			del, ress, cha := sha.Evaluate(coms, epoch.Add(at))
			require.Equal(t, was, formatShard(sha), "the shard changes by take only")
			var bui strings.Builder
			for _, res := range ress {
				bui.WriteString(formatResult(res) + "\n")
			}
			if !cha {
				return bui.String() + "no write\n"
			}
			sha.take(del)
			requireCodec(t, old, sha, del)
			return bui.String() + "write\n" + formatShard(sha)
		})
	})
}

// finishedClaim returns the changes that claim and finish a numbered key.
func finishedClaim(num, body int) []*messenger.ClaimCommit {
	non := fmt.Sprintf("0193a000-0000-7000-8000-%012d", num)
	one := &messenger.ClaimCommit{Key: "team/" + non, BodyDigest: make([]byte, 16), Host: "host-000", Nonce: non, KeyTimeMs: epoch.UnixMilli() + int64(num)}
	fin := &messenger.ClaimCommit{Step: messenger.ClaimCommit_STEP_FINISH, Key: one.GetKey(), Nonce: non, Outcome: &messenger.Outcome{Status: 200, ContentType: "application/json", Body: make([]byte, body)}}
	return []*messenger.ClaimCommit{one, fin}
}

// filled returns a shard with a number of finished claims.
func filled(t testing.TB, cou int) *Shard {
	var coms []*messenger.ClaimCommit
	for num := range cou {
		coms = append(coms, finishedClaim(num, 0)...)
	}
	sha := &Shard{}
	del, _, _ := sha.Evaluate(coms, epoch)
	sha.take(del)
	require.Equal(t, cou, sha.Len())
	return sha
}

// fill adds finished claims until the shard refuses one, and returns their number.
func fill(t testing.TB, sha *Shard, body int) int {
	const step = 1000
	for cou := 0; ; {
		var coms []*messenger.ClaimCommit
		for num := cou; num < cou+step; num++ {
			coms = append(coms, finishedClaim(num, body)...)
		}
		del, ress, _ := sha.Evaluate(coms, epoch)
		sha.take(del)
		for ind := 0; ind < len(ress); ind += 2 {
			if ress[ind].GetState() == messenger.ClaimResult_STATE_FULL {
				return cou
			}
			require.Equal(t, messenger.ClaimResult_STATE_FINISHED, ress[ind+1].GetState())
			cou++
		}
	}
}

func TestShardFull(t *testing.T) {
	sha := &Shard{}
	cou := fill(t, sha, 2000)
	require.Greater(t, cou, 5000, "bodies give way to claims")
	val, err := segment{delta: Delta{claims: sha.claims}}.encode()
	require.NoError(t, err)
	require.LessOrEqual(t, len(val), sha.Bytes())
	require.Equal(t, cou, sha.Len(), "no claim within the retention is dropped")
	t.Log("claims a shard: " + strconv.Itoa(cou))

	one := &messenger.ClaimCommit{Key: "team/0193a000-0000-7000-8000-000000000000", BodyDigest: make([]byte, 16), Nonce: "other", KeyTimeMs: epoch.UnixMilli()}
	_, ress, cha := sha.Evaluate([]*messenger.ClaimCommit{one}, epoch)
	require.False(t, cha)
	require.Equal(t, messenger.ClaimResult_STATE_FINISHED, ress[0].GetState())
	require.True(t, ress[0].GetOutcome().GetTruncated())
}

// TestWriters checks that hosts agree on the writer of a shard, that shards are
// spread, and that the loss of a host moves its shards only.
func TestWriters(t *testing.T) {
	var liv []Member
	for num := range 20 {
		liv = append(liv, Member{ID: fmt.Sprintf("host-%02d", num)})
	}
	owned := map[string]int{}
	for sha := range uint32(Shards) {
		best := Writers(sha, liv, liv[0])[0]
		owned[best.ID]++
		for _, self := range liv {
			wris := Writers(sha, liv, self)
			require.Equal(t, best, wris[0], "all hosts name the same writer")
			require.Equal(t, self, wris[len(wris)-1])
			require.LessOrEqual(t, len(wris), maxForwards+1)
		}
		for ind, mem := range liv {
			if mem == best {
				continue
			}
			rest := append(slices.Clone(liv[:ind]), liv[ind+1:]...)
			require.Equal(t, best, Writers(sha, rest, rest[0])[0])
		}
	}
	require.Greater(t, len(owned), 14, "shards are spread")
}
