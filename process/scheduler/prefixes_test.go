package scheduler

import (
	"testing"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/placer"

	"github.com/stretchr/testify/require"
)

// TestCachedPrefix checks that a prompt goes to the engine that caches its prefix,
// and elsewhere once the engine has evicted it or restarted.
func TestCachedPrefix(t *testing.T) {
	blocks := make([]uint64, 10)
	others := make([]uint64, 2*maxCacheBlocks)
	for i := range others {
		others[i] = uint64(100 + i)
	}
	for i := range blocks {
		blocks[i] = uint64(11 + i)
	}
	tts := []struct {
		name string
		do   func(cel *Cell, eng *engine)
		want string
	}{
		{"kept", func(*Cell, *engine) {}, "e1"},
		{"used beside others", func(cel *Cell, eng *engine) {
			cel.prefixes.store(eng.slot, others[:20])
			cel.trimCache(eng)
		}, "e1"},
		{"overwritten", func(cel *Cell, eng *engine) {
			cel.prefixes.store(eng.slot, others)
			cel.trimCache(eng)
		}, "e0"},
		{"no memory free for a while", func(cel *Cell, eng *engine) {
			eng.foreign = eng.memory
			cel.trimCache(eng)
			eng.foreign = 0
		}, "e0"},
		{"restarted", func(cel *Cell, eng *engine) {
			cel.Next(Report{"e1", invoker.Load{Incarnation: 7, MemoryTokens: eng.memory, PrefillRate: eng.reportedRate, Models: eng.models, Partial: true}}, epoch)
		}, "e0"},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			cel := newCell(2, epoch)
			eng := cel.byID["e1"]
			cel.prefixes.store(eng.slot, blocks)
			tt.do(cel, eng)
			acts := cel.Next(Request{ID: "x", Request: placer.Request{ID: "x", Model: "m", PromptTokens: 12_000, Prefix: blocks, Deadline: epoch.Add(requestTimeout)}}, epoch)
			require.Len(t, acts, 1)
			require.Equal(t, tt.want, acts[0].(Grant).Endpoint)
		})
	}
}

// TestPrefixesByEngine checks that evicting a block of one engine leaves the block of
// another engine, and that clearing all engines leaves no mask.
func TestPrefixesByEngine(t *testing.T) {
	var pre prefixes
	pre.store(0, []uint64{1, 2, 3})
	pre.store(1, []uint64{1, 2, 3})
	pre.store(1, []uint64{1})
	pre.trim(1, 1)
	var out [maxSlots]uint16
	pre.match([]uint64{1, 2, 3}, &out)
	require.Equal(t, []uint16{3, 1, 0}, out[:3])
	pre.clear(0)
	pre.clear(1)
	require.Empty(t, pre.masks)
}
