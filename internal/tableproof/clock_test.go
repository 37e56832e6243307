package tableproof_test

import (
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/multiplexer"
	"hemlockpin/internal/testkit"

	"github.com/stretchr/testify/require"
)

// The earlier process of a host ran with its clock an hour ahead, so its peers know
// an incarnation in the future. The host must choose a higher incarnation, and so
// count as alive on all peers, whether it learns of the old one at its start or
// while it serves requests.
func TestClockBehind(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 3, Engines: 2, PlatformArgs: []string{"--list-lag", "200ms"}})
	host := fle.Hosts[2]
	mul := &multiplexer.Multiplexer{}
	defer mul.Close()
	// reportAhead reports to the other hosts a process of the host whose clock is
	// ahead, and returns its incarnation.
	reportAhead := func(lead time.Duration) uint64 {
		inc := uint64(time.Now().Add(lead).UnixNano())
		mem := &messenger.Member{Id: host.ID, Address: host.Peer, DataCenter: "colombo", Incarnation: inc}
		for _, other := range fle.Hosts[:2] {
			_, err := mul.Call(t.Context(), other.Peer, &messenger.Envelope{Body: &messenger.Envelope_Ping{Ping: &messenger.Ping{From: mem, Target: other.ID}}})
			require.NoError(t, err)
		}
		return inc
	}
	waitKnown := func(above uint64) {
		for _, other := range fle.Hosts[:2] {
			require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool {
				for _, peer := range fle.status(other).Peers {
					if peer.ID == host.ID {
						return peer.Incarnation > above && peer.State == "Alive"
					}
				}
				return false
			}), "host %s", other.ID)
		}
	}

	host.Kill()
	inc := reportAhead(time.Hour)
	require.NoError(t, host.Start())
	waitKnown(inc)
	require.Greater(t, fle.status(host).Incarnation, inc, "the host must learn the incarnation before it starts serving")

	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool {
		return testkit.GetOK(t.Context(), "http://"+host.Address+"/readyz") == nil
	}))
	inc = reportAhead(2 * time.Hour)
	waitKnown(inc)
	require.NoError(t, ask(t.Context(), host.Address, "long", 1000))
	for _, other := range fle.Hosts[:2] {
		require.Zero(t, metrics(t, other)[`reclaimed{reason="Replaced"}`], "host %s freed the work of a live process", other.ID)
	}
}
