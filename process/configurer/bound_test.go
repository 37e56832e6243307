package configurer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBounds computes the limits of hosts. On a small host, they must follow its memory
// and file descriptors.
func TestBounds(t *testing.T) {
	tests := []struct {
		name                string
		memory, files       WholeNumber
		heap, bodies, conns int64
	}{
		{"unknown", 0, 0, 0, 512 << 20, 10_000},
		{"small host", 184, 4100, 135_056_588, 77_175_193, 1850},
		{"very small host", 64, 4100, 33_554_432, 19_173_961, 1850},
		{"less than the program takes", 20, 4100, 3_670_016, 2_097_152, 1850},
		{"large host", 4096, 65_536, 3_006_477_107, 512 << 20, 10_000},
		{"hardly any descriptors", 184, 512, 135_056_588, 77_175_193, 56},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			set := Settings{Host: Host{MemoryMB: tt.memory, MaxFiles: tt.files}, Limits: Limits{MaxBodyMemory: 512 << 20, MaxConns: 10_000}}
			require.Equal(t, tt.heap, set.HeapLimit())
			require.Equal(t, tt.bodies, set.BodyMemoryLimit())
			require.Equal(t, tt.conns, set.CallerConnLimit())
		})
	}
}
