package quarantiner

import (
	"math"
	"testing"
	"time"

	"hemlockpin/connection/messenger"

	"github.com/stretchr/testify/require"
)

// TestInvalidRecords guards against a peer's record that applies for ever or to all prompts, or
// that no later one supersedes. The others must be kept.
func TestInvalidRecords(t *testing.T) {
	now := time.Unix(1000, 0)
	sound := &messenger.QuarantineRecord{Pool: "llm", Parts: []string{"a"}, Generation: 1}
	for name, rec := range map[string]*messenger.QuarantineRecord{
		"without parts":              {Pool: "llm", Generation: 1},
		"with an empty part":         {Pool: "llm", Parts: []string{""}, Generation: 1},
		"generation zero":            {Pool: "llm", Parts: []string{"b"}},
		"the greatest generation":    {Pool: "llm", Parts: []string{"b"}, Generation: math.MaxUint32},
		"parts of several megabytes": {Pool: "llm", Parts: []string{string(make([]byte, 2<<20))}, Generation: 1},
	} {
		t.Run(name, func(t *testing.T) {
			cha := FromMessage(&messenger.QuarantinePush{Quarantines: []*messenger.QuarantineRecord{rec, sound}}, now)
			require.Len(t, cha.Quarantines, 1)
			require.Equal(t, []string{"a"}, cha.Quarantines[0].Parts)
		})
	}
	for _, age := range []int64{-1, math.MinInt64, math.MaxInt64, math.MaxInt64 / 1_000_000, 1 << 62} {
		cha := FromMessage(&messenger.QuarantinePush{Quarantines: []*messenger.QuarantineRecord{{Pool: "llm", Parts: []string{"a"}, Generation: 1, AgeMs: age}}}, now)
		require.Len(t, cha.Quarantines, 1)
		require.LessOrEqual(t, cha.Quarantines[0].left(now), Lifetime, age)
	}
	cha := FromMessage(&messenger.QuarantinePush{Suspects: []*messenger.SuspectRecord{
		{Pool: "llm", Part: "a", Epoch: math.MaxUint64}, {Pool: "llm", Part: "b", Score: math.MaxUint32}, {Pool: "llm"}, {Pool: "llm", Part: "c", Score: 2},
	}}, now)
	require.Equal(t, []Suspect{{Pool: "llm", Part: "c", Score: 2}}, cha.Suspects)
}
