package scheduler

import (
	"testing"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/placer"

	"github.com/stretchr/testify/require"
)

// TestCachedPrefix sends a prompt where its prefix is cached, and elsewhere
// once the engine needed the room or is another process.
func TestCachedPrefix(t *testing.T) {
	blos := make([]uint64, 10)
	oth := make([]uint64, 2*maxCacheBlocks)
	for ind := range oth {
		oth[ind] = uint64(100 + ind)
	}
	for ind := range blos {
		blos[ind] = uint64(11 + ind)
	}
	tts := []struct {
		name string
		do   func(cel *Cell, eng *engine)
		want string
	}{
		{"kept", func(*Cell, *engine) {}, "e1"},
		{"used beside others", func(cel *Cell, eng *engine) {
			cel.prefixes.store(eng.slot, oth[:20])
			cel.makeCacheRoom(eng)
		}, "e1"},
		{"overwritten", func(cel *Cell, eng *engine) {
			cel.prefixes.store(eng.slot, oth)
			cel.makeCacheRoom(eng)
		}, "e0"},
		{"no memory free for a while", func(cel *Cell, eng *engine) {
			eng.foreign = eng.memory
			cel.makeCacheRoom(eng)
			eng.foreign = 0
		}, "e0"},
		{"restarted", func(cel *Cell, eng *engine) {
			cel.Next(Report{"e1", invoker.Load{Incarnation: 7, MemoryTokens: eng.memory, PrefillRate: eng.rate, Models: eng.models, Partial: true}}, epoch)
		}, "e0"},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			cel := newCell(2, epoch)
			eng := cel.byID["e1"]
			cel.prefixes.store(eng.slot, blos)
			tt.do(cel, eng)
			acts := cel.Next(Request{ID: "x", Request: placer.Request{ID: "x", Model: "m", PromptTokens: 12_000, Prefix: blos, Deadline: epoch.Add(stageLimit)}}, epoch)
			require.Len(t, acts, 1)
			require.Equal(t, tt.want, acts[0].(Grant).Endpoint)
		})
	}
}

// A block of one engine says nothing about another one that dropped it.
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
