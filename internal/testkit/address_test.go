package testkit

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFreeAddress checks that ports are returned once and are below the system's
// range of ephemeral ports.
func TestFreeAddress(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	require.NoError(t, err)
	low, err := strconv.Atoi(strings.Fields(string(text))[0])
	require.NoError(t, err)
	seen := map[string]bool{}
	for range 1000 {
		address := FreeAddress()
		require.False(t, seen[address], address)
		seen[address] = true
		_, port, err := net.SplitHostPort(address)
		require.NoError(t, err)
		n, err := strconv.Atoi(port)
		require.NoError(t, err)
		require.Less(t, n, low)
	}
}

// TestReservedPorts guards against addresses that another program uses: its process may be
// down for a moment while it is restarted. This test is the other program for a port.
func TestReservedPorts(t *testing.T) {
	const port = lastPort + 1
	lis, err := net.Listen("unix", reservationName(port))
	require.NoError(t, err)
	require.False(t, reserve(port))
	require.NoError(t, lis.Close())
	require.True(t, reserve(port))
	require.False(t, reserve(port))
}
