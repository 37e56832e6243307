package counter_test

import (
	"io"
	"net"
	"testing"

	"hemlockpin/connection/counter"

	"github.com/stretchr/testify/require"
)

// TestTraffic counts both directions of a connection. A nil Traffic must return the
// connection itself and zero counts.
func TestTraffic(t *testing.T) {
	var tra counter.Traffic
	raw, peer := net.Pipe()
	con := tra.Wrap(raw)
	go func() {
		_, _ = io.ReadFull(peer, make([]byte, 5))
		_, _ = peer.Write([]byte("abc"))
		peer.Close()
	}()
	_, err := con.Write([]byte("hello"))
	require.NoError(t, err)
	_, err = io.ReadAll(con)
	require.NoError(t, err)
	require.Equal(t, counter.Totals{Sent: 5, Received: 3, Opened: 1}, tra.Totals())
	require.Equal(t, raw, (*counter.Traffic)(nil).Wrap(raw))
	require.Zero(t, (*counter.Traffic)(nil).Totals())
}
