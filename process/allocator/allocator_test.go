package allocator

import (
	"testing"
	"time"

	"hemlockpin/request/executor"
	"hemlockpin/request/placer"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

// TestLimitsWithoutScheduler places from the local view until a limit of the pool is
// reached. The next request must be refused until an earlier request has its first
// token (MaxWaiting) or ends.
func TestLimitsWithoutScheduler(t *testing.T) {
	tts := []struct {
		name     string
		pool     parser.Pool
		limit    int
		makeRoom func(executor.Lease)
	}{
		{"outstanding", parser.Pool{Name: "p", Kind: parser.PoolEngine, MaxOutstanding: 2}, 2, func(lea executor.Lease) { lea.Release() }},
		{"service", parser.Pool{Name: "p", Kind: parser.PoolService, MaxOutstanding: 2, MaxWaiting: 1}, 2, func(lea executor.Lease) { lea.Release() }},
		{"waiting", parser.Pool{Name: "p", Kind: parser.PoolEngine, MaxWaiting: 4}, 4, func(lea executor.Lease) { lea.Prefilled() }},
		{"waiting to the end", parser.Pool{Name: "p", Kind: parser.PoolEngine, MaxWaiting: 4}, 4, func(lea executor.Lease) { lea.Release() }},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			// The endpoint b reports requests of other hosts. The view is not
			// refreshed, as the allocator has no watcher.
			vie := &view{endpoints: []placer.Endpoint{{ID: "a"}, {ID: "b", Running: 2}}, index: map[string]int{"a": 0, "b": 1}, pool: tt.pool, copiedAt: time.Now().Add(time.Hour)}
			all := &Allocator{Policy: placer.PolicyLeastOutstanding, views: map[string]*view{"p": vie}}
			var last executor.Lease
			for range tt.limit {
				lea, err := all.placeFromView(t.Context(), placer.Request{}, tt.pool)
				require.NoError(t, err)
				last = lea
			}
			_, err := all.placeFromView(t.Context(), placer.Request{}, tt.pool)
			var ref *executor.RefusedError
			require.ErrorAs(t, err, &ref)
			require.Equal(t, "pool_full", ref.Refuse.Code)
			tt.makeRoom(last)
			_, err = all.placeFromView(t.Context(), placer.Request{}, tt.pool)
			require.NoError(t, err)
		})
	}
}
