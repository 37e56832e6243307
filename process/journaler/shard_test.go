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

// parseChange parses a line such as "claim a body=x nonce=n1 time=0".
func parseChange(t *testing.T, line string) *messenger.ClaimCommit {
	t.Helper()
	fields := strings.Fields(line)
	com := &messenger.ClaimCommit{Key: fields[1], BodyDigest: []byte("x"), Host: "host-0", KeyTimeMs: epoch.UnixMilli()}
	step, ok := messenger.ClaimCommit_Step_value["STEP_"+strings.ToUpper(fields[0])]
	require.True(t, ok, line)
	com.Step = messenger.ClaimCommit_Step(step)
	for _, field := range fields[2:] {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "body":
			com.BodyDigest = []byte(value)
		case "nonce":
			com.Nonce = value
		case "time":
			d, err := time.ParseDuration(value)
			require.NoError(t, err)
			com.KeyTimeMs = epoch.Add(d).UnixMilli()
		case "outcome":
			com.Outcome = &messenger.Outcome{Status: 200, Body: []byte(value)}
		default:
			require.Fail(t, "unknown field", line)
		}
	}
	return com
}

func formatShard(sha *Shard) string {
	var lines []string
	for _, cla := range sha.claims {
		lines = append(lines, fmt.Sprintf("%s %s nonce=%s status=%d body=%q truncated=%v\n", cla.Key, [...]string{"held", "finished", "released"}[cla.State],
			cla.Nonce, cla.Outcome.GetStatus(), cla.Outcome.GetBody(), cla.Outcome.GetTruncated()))
	}
	slices.Sort(lines)
	if sha.forgottenMs != 0 {
		lines = append(lines, "forgotten "+time.UnixMilli(sha.forgottenMs).Sub(epoch).String()+"\n")
	}
	return strings.Join(lines, "")
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

// clone returns a shard with the same claims, encoded and decoded as a segment.
func clone(t testing.TB, sha *Shard) *Shard {
	t.Helper()
	value, err := segment{number: 7, through: 8, delta: Delta{sha.forgottenMs, sha.bodilessMs, sha.claims}}.encode()
	require.NoError(t, err)
	seg, err := decodeSegment(value)
	require.NoError(t, err)
	require.Equal(t, []uint64{7, 8}, []uint64{seg.number, seg.through})
	out := &Shard{}
	out.apply(seg.delta)
	return out
}

// requireRoundTrip checks that a shard is the same after it was encoded as a segment,
// and after its last delta was encoded as an entry. It applies that entry to before.
func requireRoundTrip(t *testing.T, before, after *Shard, del Delta) {
	t.Helper()
	value, err := entry{8, del}.encode()
	require.NoError(t, err)
	ent, err := decodeEntry(value)
	require.NoError(t, err)
	require.Equal(t, uint64(8), ent.seq)
	before.apply(ent.delta)
	for _, decoded := range []*Shard{clone(t, after), before} {
		require.Equal(t, formatShard(after), formatShard(decoded))
		require.Equal(t, []int{after.bytes, after.bodyBytes}, []int{decoded.bytes, decoded.bodyBytes})
	}
}

// TestShard runs the cases of the data files, and checks that Evaluate changes no shard
// and that encoded deltas have the same effect.
func TestShard(t *testing.T) {
	datadriven.Walk(t, "testdata/shard", func(t *testing.T, path string) {
		sha := &Shard{}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			at := 0 * time.Second
			if td.HasArg("at") {
				var text string
				td.ScanArgs(t, "at", &text)
				var err error
				at, err = time.ParseDuration(text)
				require.NoError(t, err)
			}
			var coms []*messenger.ClaimCommit
			for line := range strings.Lines(td.Input) {
				coms = append(coms, parseChange(t, line))
			}
			before := formatShard(sha)
			old := clone(t, sha)
			del, results, changed := sha.Evaluate(coms, epoch.Add(at))
			require.Equal(t, before, formatShard(sha), "only apply changes the shard")
			var bui strings.Builder
			for _, res := range results {
				bui.WriteString(formatResult(res) + "\n")
			}
			if !changed {
				return bui.String() + "no write\n"
			}
			sha.apply(del)
			requireRoundTrip(t, old, sha, del)
			return bui.String() + "write\n" + formatShard(sha)
		})
	})
}

// finishedClaim returns the changes that claim and finish the key with a number.
func finishedClaim(n, body int) []*messenger.ClaimCommit {
	nonce := fmt.Sprintf("0193a000-0000-7000-8000-%012d", n)
	claim := &messenger.ClaimCommit{Key: "team/" + nonce, BodyDigest: make([]byte, 16), Host: "host-000", Nonce: nonce, KeyTimeMs: epoch.UnixMilli() + int64(n)}
	finish := &messenger.ClaimCommit{Step: messenger.ClaimCommit_STEP_FINISH, Key: claim.GetKey(), Nonce: nonce, Outcome: &messenger.Outcome{Status: 200, ContentType: "application/json", Body: make([]byte, body)}}
	return []*messenger.ClaimCommit{claim, finish}
}

// shardWithFinished returns a shard with a number of finished claims.
func shardWithFinished(t testing.TB, count int) *Shard {
	var coms []*messenger.ClaimCommit
	for n := range count {
		coms = append(coms, finishedClaim(n, 0)...)
	}
	sha := &Shard{}
	del, _, _ := sha.Evaluate(coms, epoch)
	sha.apply(del)
	require.Equal(t, count, sha.Len())
	return sha
}

// fillUntilRefused adds finished claims until the shard refuses a claim, and returns
// the number of the added claims.
func fillUntilRefused(t testing.TB, sha *Shard, body int) int {
	const step = 1000
	for count := 0; ; {
		var coms []*messenger.ClaimCommit
		for n := count; n < count+step; n++ {
			coms = append(coms, finishedClaim(n, body)...)
		}
		del, results, _ := sha.Evaluate(coms, epoch)
		sha.apply(del)
		for i := 0; i < len(results); i += 2 {
			if results[i].GetState() == messenger.ClaimResult_STATE_FULL {
				return count
			}
			require.Equal(t, messenger.ClaimResult_STATE_FINISHED, results[i+1].GetState())
			count++
		}
	}
}

// TestShardFull checks that a full shard drops bodies before it refuses claims, and
// never drops a claim within its retention.
func TestShardFull(t *testing.T) {
	sha := &Shard{}
	count := fillUntilRefused(t, sha, 2000)
	require.Greater(t, count, 5000, "bodies are dropped to make room for claims")
	value, err := segment{delta: Delta{claims: sha.claims}}.encode()
	require.NoError(t, err)
	require.LessOrEqual(t, len(value), sha.Bytes())
	require.Equal(t, count, sha.Len(), "no claim within the retention is dropped")
	t.Log("claims a shard: " + strconv.Itoa(count))

	com := &messenger.ClaimCommit{Key: "team/0193a000-0000-7000-8000-000000000000", BodyDigest: make([]byte, 16), Nonce: "other", KeyTimeMs: epoch.UnixMilli()}
	_, results, changed := sha.Evaluate([]*messenger.ClaimCommit{com}, epoch)
	require.False(t, changed)
	require.Equal(t, messenger.ClaimResult_STATE_FINISHED, results[0].GetState())
	require.True(t, results[0].GetOutcome().GetTruncated())
}

// TestWriters checks that hosts agree on the writer of a shard, that shards are spread
// over hosts, and that the removal of a host changes the writers of its shards only.
func TestWriters(t *testing.T) {
	var live []Member
	for n := range 20 {
		live = append(live, Member{ID: fmt.Sprintf("host-%02d", n)})
	}
	owned := map[string]int{}
	for shard := range uint32(Shards) {
		best := WriterHosts(shard, live, live[0])[0]
		owned[best.ID]++
		for _, self := range live {
			writers := WriterHosts(shard, live, self)
			require.Equal(t, best, writers[0], "all hosts choose the same writer")
			require.Equal(t, self, writers[len(writers)-1])
			require.LessOrEqual(t, len(writers), maxForwards+1)
		}
		for i, mem := range live {
			if mem == best {
				continue
			}
			rest := append(slices.Clone(live[:i]), live[i+1:]...)
			require.Equal(t, best, WriterHosts(shard, rest, rest[0])[0])
		}
	}
	require.Greater(t, len(owned), 14, "shards are spread over hosts")
}
