package mixer_test

import (
	"slices"
	"testing"

	"hemlockpin/load/mixer"
	"hemlockpin/request/hasher"

	"github.com/stretchr/testify/require"
)

func TestSameSeedDrawsTheSame(t *testing.T) {
	one := mixer.New(mixer.PortLouis(), 10, 3)
	two := mixer.New(mixer.PortLouis(), 10, 3)
	for range 200 {
		fir, sec := one.Next(), two.Next()
		require.Equal(t, fir, sec)
		if fir.Kind == mixer.KindPrompt && fir.PromptTokens <= mixer.ShortTokens {
			require.Equal(t, fir.Text(), sec.Text())
			require.Equal(t, fir.PromptTokens, hasher.Tokens(fir.Text()))
		}
	}
}

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

// A stream beside others changes none of their requests.
func TestStreamsDontChangeEachOther(t *testing.T) {
	mix := mixer.Wijesinghe()
	strs := []mixer.Stream{{Team: mix.Teams[0], Rate: 5, Seed: 1}, {Team: mix.Teams[1], Rate: 5, Seed: 2}}
	lou := append(slices.Clone(strs), mixer.Stream{Team: mix.Teams[0], Rate: 45, Seed: 3})
	one, two := drawn(mixer.MergeStreams(mix, strs), mix.Teams[1].Key), drawn(mixer.MergeStreams(mix, lou), mix.Teams[1].Key)
	for ind := range one {
		require.Equal(t, one[ind], two[ind])
	}
}

// drawn returns the first requests of a team.
func drawn(mer *mixer.Merger, key string) []mixer.Request {
	var out []mixer.Request
	for len(out) < 100 {
		if req := mer.Next(); req.Key == key {
			out = append(out, req)
		}
	}
	return out
}
