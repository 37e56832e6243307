package mixer_test

import (
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
			require.Equal(t, one.Text(fir), two.Text(sec))
			require.Equal(t, fir.PromptTokens, hasher.Tokens(one.Text(fir)))
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
