package allocator

import (
	"testing"

	"hemlockpin/request/placer"

	"github.com/stretchr/testify/require"
)

// TestPrefixes checks that a prompt matches the endpoint of its longest recorded
// prefix, and that old blocks are forgotten once maxPrefixBlocks are recorded.
func TestPrefixes(t *testing.T) {
	var pre prefixes
	require.Empty(t, pre.match([]uint64{1}))
	pre.record([]uint64{1, 2, 3}, "a")
	pre.record([]uint64{1, 2, 4}, "b")
	require.Equal(t, []placer.Cached{{Endpoint: "a", Blocks: 3}}, pre.match([]uint64{1, 2, 3, 9}))
	require.Equal(t, []placer.Cached{{Endpoint: "b", Blocks: 2}}, pre.match([]uint64{1, 2, 9}))
	for i := range uint64(2 * maxPrefixBlocks) {
		pre.record([]uint64{100 + i}, "c")
	}
	require.Empty(t, pre.match([]uint64{1}))
	require.Len(t, pre.endpoints, maxPrefixBlocks)
	require.Len(t, pre.order, maxPrefixBlocks)
}
