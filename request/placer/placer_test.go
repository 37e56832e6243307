package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func sampleView(n int) View {
	var vie View
	for i := range n {
		vie.Endpoints = append(vie.Endpoints, Endpoint{
			ID: fmt.Sprintf("engine-%d", i), Models: []string{"pedal-model"}, ReportedAt: epoch,
			MemoryTokens: 400_000, PrefillRate: 200_000, QueuedTokens: int64(i%7) * 1000,
		})
	}
	for i := range 400 {
		vie.Mix = vie.Mix.WithRequest(int64(1+i)*500, epoch)
	}
	return vie
}

func BenchmarkDecide(b *testing.B) {
	for _, pol := range Policies() {
		for _, n := range []int{100, 1_000, 10_000} {
			b.Run(fmt.Sprintf("%s/%d", pol, n), func(b *testing.B) {
				vie := sampleView(n)
				ran := rand.New(rand.NewPCG(1, 2))
				req := Request{Model: "pedal-model", PromptTokens: 2000, MaxTokens: 100}
				b.ReportAllocs()
				for b.Loop() {
					Decide(pol, req, vie, epoch, ran)
				}
			})
		}
	}
}

// TestNoAllocationPerEndpoint checks that the allocations of a decision do not grow
// with the number of endpoints.
func TestNoAllocationPerEndpoint(t *testing.T) {
	vie := sampleView(1000)
	ran := rand.New(rand.NewPCG(1, 2))
	req := Request{Model: "pedal-model", PromptTokens: 2000, MaxTokens: 100}
	for _, pol := range Policies() {
		n := testing.AllocsPerRun(100, func() { Decide(pol, req, vie, epoch, ran) })
		require.LessOrEqual(t, n, 2.0, pol)
	}
}

// TestNoHerd guards against hosts that decide at the same time on the same view and all
// choose the endpoint with the lowest estimate.
func TestNoHerd(t *testing.T) {
	vie := sampleView(14)
	for i := range vie.Endpoints {
		vie.Endpoints[i].QueuedTokens = int64(i) * 100
	}
	tests := []struct {
		pol  Policy
		most int
	}{{PolicyTwoChoices, 25}, {PolicyWork, 100}}
	for _, tt := range tests {
		counts := map[string]int{}
		for seed := range uint64(100) {
			ran := rand.New(rand.NewPCG(7, seed))
			counts[Decide(tt.pol, Request{Model: "pedal-model", PromptTokens: 1000}, vie, epoch, ran).(Place).Endpoint]++
		}
		require.LessOrEqual(t, counts["engine-0"], tt.most, tt.pol)
		if tt.pol == PolicyWork {
			require.Equal(t, 100, counts["engine-0"], "PolicyWork must show the herd that PolicyTwoChoices avoids")
		}
	}
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name string
		req  Request
		edit func(vie *View)
		want Decision
	}{
		{"leaving endpoint", Request{Model: "pedal-model"}, func(vie *View) { vie.Endpoints[0].Leaving = true }, Place{Endpoint: "engine-1"}},
		{"excluded", Request{Model: "pedal-model", Excluded: []string{"engine-1"}}, func(*View) {}, Place{Endpoint: "engine-0"}},
		{"unknown model", Request{Model: "other"}, func(*View) {}, Refuse{Code: "no_endpoint", Message: "no endpoint of the pool can take the request", RetryAfter: time.Second}},
		{"no endpoints", Request{}, func(vie *View) { vie.Endpoints = nil }, Refuse{Code: "no_endpoint", Message: "no endpoint of the pool can take the request", RetryAfter: time.Second}},
		{"one full", Request{Model: "pedal-model"}, func(vie *View) { vie.MaxOutstanding, vie.Endpoints[0].Outstanding = 2, 2 }, Place{Endpoint: "engine-1"}},
		{"all full", Request{Model: "pedal-model"}, func(vie *View) {
			vie.MaxOutstanding, vie.Endpoints[0].Running, vie.Endpoints[1].Outstanding = 2, 2, 3
		}, Refuse{Code: "pool_full", Message: "every endpoint of the pool has all the requests that it may have", RetryAfter: time.Second}},
		{"cached prefix", Request{Model: "pedal-model", PromptTokens: 50_000}, func(vie *View) {
			vie.Cached = []Cached{{"engine-1", 40}}
			vie.Endpoints[1].QueuedTokens = 20_000
		}, Place{Endpoint: "engine-1"}},
		{"cached prefix behind a long queue", Request{Model: "pedal-model", PromptTokens: 50_000}, func(vie *View) {
			vie.Cached = []Cached{{"engine-1", 40}}
			vie.Endpoints[1].QueuedTokens = 60_000
		}, Place{Endpoint: "engine-0"}},
		{"group", Request{Model: "pedal-model", PromptTokens: 500_000}, func(*View) {}, PlaceGroup{[]Part{{Endpoint: "engine-0", Tokens: 250_001}, {Endpoint: "engine-1", Tokens: 249_999}}}},
		{"too large", Request{Model: "pedal-model", PromptTokens: 900_000}, func(*View) {}, Refuse{Code: "prompt_too_large", Message: "the prompt exceeds the memory of all engines of the pool"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			vie := sampleView(2)
			tt.edit(&vie)
			for seed := range uint64(20) {
				require.Equal(t, tt.want, Decide(PolicyTwoChoices, tt.req, vie, epoch, rand.New(rand.NewPCG(1, seed))))
			}
		})
	}
}

func TestMixClasses(t *testing.T) {
	var mix Mix
	require.Equal(t, 0, mix.class(1_000_000))
	for range 90 {
		mix = mix.WithRequest(1000, epoch)
	}
	mix = mix.WithRequest(90_000, epoch).WithRequest(150_000, epoch)
	require.Equal(t, 0, mix.class(1000))
	require.Equal(t, 2, mix.class(150_000))
	require.InDelta(t, 0.727, mix.longShare(minLongTokens(View{})), 0.001)
}
