package tableproof_test

import (
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/multiplexer"
	"hemlockpin/internal/testkit"

	"github.com/stretchr/testify/require"
)

// A host whose earlier process ran with its clock an hour ahead counts as alive
// everywhere, whether it learns so before its start or in mid-work.
func TestClockBehind(t *testing.T) {
	fle := start(t, testkit.Plan{Hosts: 3, Engines: 2, PlatformArgs: []string{"--list-lag", "200ms"}})
	hos := fle.Hosts[2]
	mul := &multiplexer.Multiplexer{}
	defer mul.Close()
	// ahead makes the other hosts hear of a process of the host with the clock ahead.
	ahead := func(dur time.Duration) uint64 {
		inc := uint64(time.Now().Add(dur).UnixNano())
		mem := &messenger.Member{Id: hos.ID, Address: hos.Peer, DataCenter: "colombo", Incarnation: inc}
		for _, oth := range fle.Hosts[:2] {
			_, err := mul.Call(t.Context(), oth.Peer, &messenger.Envelope{Body: &messenger.Envelope_Ping{Ping: &messenger.Ping{From: mem, Target: oth.ID}}})
			require.NoError(t, err)
		}
		return inc
	}
	known := func(above uint64) {
		for _, oth := range fle.Hosts[:2] {
			require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool {
				for _, per := range fle.status(oth).Peers {
					if per.ID == hos.ID {
						return per.Incarnation > above && per.State == "Alive"
					}
				}
				return false
			}), "host %s", oth.ID)
		}
	}

	hos.Kill()
	inc := ahead(time.Hour)
	require.NoError(t, hos.Start())
	known(inc)
	require.Greater(t, fle.status(hos).Incarnation, inc, "it is learned before the start")

	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool {
		return testkit.GetOK(t.Context(), "http://"+hos.Address+"/readyz") == nil
	}))
	inc = ahead(2 * time.Hour)
	known(inc)
	require.NoError(t, ask(t.Context(), hos.Address, "long", 1000))
	for _, oth := range fle.Hosts[:2] {
		require.Zero(t, metrics(t, oth)[`reclaimed{reason="Replaced"}`], "host %s freed the work of a live process", oth.ID)
	}
}
