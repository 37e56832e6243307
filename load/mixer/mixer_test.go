package mixer_test

import (
	"slices"
	"testing"

	"hemlockpin/load/mixer"
	"hemlockpin/request/hasher"

	"github.com/stretchr/testify/require"
)

// Two mixers with the same seed draw the same requests, and short prompts have the
// drawn number of tokens.
func TestSameSeedDrawsTheSame(t *testing.T) {
	mixerA := mixer.New(mixer.PortLouis(), 10, 3)
	mixerB := mixer.New(mixer.PortLouis(), 10, 3)
	for range 200 {
		a, b := mixerA.Next(), mixerB.Next()
		require.Equal(t, a, b)
		if a.Kind == mixer.KindPrompt && a.PromptTokens <= mixer.ShortTokens {
			require.Equal(t, a.Text(), b.Text())
			require.Equal(t, a.PromptTokens, hasher.Tokens(a.Text()))
		}
	}
}

// One prompt in fifty has at least 100,000 tokens.
func TestOneInFiftyIsOverAHundredThousand(t *testing.T) {
	for _, mix := range []mixer.Mix{mixer.Wijesinghe(), mixer.PortLouis()} {
		var all, huge float64
		for _, cla := range mix.Classes {
			all += cla.Weight
			if cla.MinTokens >= 100_000 {
				huge += cla.Weight
			}
		}
		require.InDelta(t, 0.02, huge/all, 1e-9, mix.Name)
	}
}

// Adding a stream changes none of the requests of the other streams.
func TestStreamsDontChangeEachOther(t *testing.T) {
	mix := mixer.Wijesinghe()
	strs := []mixer.Stream{{Team: mix.Teams[0], Rate: 5, Seed: 1}, {Team: mix.Teams[1], Rate: 5, Seed: 2}}
	loudStreams := append(slices.Clone(strs), mixer.Stream{Team: mix.Teams[0], Rate: 45, Seed: 3})
	before, after := drawn(mixer.MergeStreams(mix, strs), mix.Teams[1].Key), drawn(mixer.MergeStreams(mix, loudStreams), mix.Teams[1].Key)
	for i := range before {
		require.Equal(t, before[i], after[i])
	}
}

// drawn returns the first 100 requests of a team.
func drawn(mer *mixer.Merger, key string) []mixer.Request {
	var out []mixer.Request
	for len(out) < 100 {
		if req := mer.Next(); req.Key == key {
			out = append(out, req)
		}
	}
	return out
}
