package gossiper

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// knows reports whether a host has a live peer with an ID.
func knows(gos *Gossiper, id string) bool {
	return slices.ContainsFunc(gos.Live(time.Now()), func(per Peer) bool { return per.ID == id })
}

// TestSeedPause checks that a few hosts ask again after the interval, and that hundreds share
// the pulls.
func TestSeedPause(t *testing.T) {
	require.Equal(t, time.Second, seedPause(time.Second, 4, 0.9))
	require.Equal(t, 92*time.Second, seedPause(time.Second, 920, 0.5))
	require.Equal(t, time.Second, seedPause(time.Second, 920, 0))
}

// TestSeedStartsLate guards against hosts that start at the same time, find each other in parts
// and stay apart for minutes: a host that joins through another one while a seed is not up yet
// must find the seed, and the seed the host, soon after the seed has started.
func TestSeedStartsLate(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	seedAddr := lis.Addr().String()
	require.NoError(t, lis.Close())
	_, peerAddr := startPeer(t, "peer", 1, nil)
	gos, _ := startPeer(t, "new", 0, []string{seedAddr, peerAddr})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); gos.runSync(ctx, 100*time.Millisecond) }()
	defer func() { stop(); <-done }()
	require.Eventually(t, gos.Joined, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return knows(gos, "peer") }, 10*time.Second, time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	require.False(t, knows(gos, "seed"))
	seed, _ := startPeerAt(t, seedAddr, "seed", 1, nil)
	require.Eventually(t, func() bool { return knows(gos, "seed") && knows(seed, "new") }, 5*time.Second, 10*time.Millisecond)
}
