package testkit

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFreeAddress holds the ports out of the range of outgoing connections.
func TestFreeAddress(t *testing.T) {
	txt, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	require.NoError(t, err)
	low, err := strconv.Atoi(strings.Fields(string(txt))[0])
	require.NoError(t, err)
	see := map[string]bool{}
	for range 1000 {
		add := FreeAddress()
		require.False(t, see[add], add)
		see[add] = true
		_, por, err := net.SplitHostPort(add)
		require.NoError(t, err)
		num, err := strconv.Atoi(por)
		require.NoError(t, err)
		require.Less(t, num, low)
	}
}
