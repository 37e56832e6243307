package scheduler

import (
	"testing"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/placer"

	"github.com/stretchr/testify/require"
)

// TestCachedPrefix sends a prompt where its prefix is cached, and elsewhere
// once the engine's events have a gap, an eviction or a clearing.
func TestCachedPrefix(t *testing.T) {
	blos := []uint64{11, 12, 13, 14, 15, 16, 17, 18, 19, 20}
	tts := []struct {
		name string
		eve  invoker.CacheEvent
		gap  bool
		want string
	}{
		{"kept", invoker.CacheEvent{}, false, "e1"},
		{"gap", invoker.CacheEvent{}, true, "e0"},
		{"evicted", invoker.CacheEvent{Evicted: blos}, false, "e0"},
		{"cleared", invoker.CacheEvent{Cleared: true}, false, "e0"},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			cel := newCell(2, epoch)
			cel.Cached("e1", invoker.CacheEvent{Sequence: 1, Stored: blos}, false)
			cel.Cached("e1", tt.eve, tt.gap)
			acts := cel.Next(Ask{ID: "x", Request: placer.Request{ID: "x", Model: "m", PromptTokens: 12_000, Prefix: blos, Deadline: epoch.Add(stageLimit)}}, epoch)
			require.Len(t, acts, 1)
			require.Equal(t, tt.want, acts[0].(Grant).Endpoint)
		})
	}
}
