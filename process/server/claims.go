package server

import (
	"context"
	"time"

	"hemlockpin/process/gossiper"
	"hemlockpin/process/journaler"
)

const (
	// peerSilence is how long a peer may be silent and still write shards.
	peerSilence   = 5 * time.Second
	claimPollTime = 20 * time.Millisecond
)

// liveHosts names the peers heard of lately.
type liveHosts struct{ gossiper *gossiper.Gossiper }

// Live returns the hosts believed to be live.
func (liv liveHosts) Live() []journaler.Member {
	var out []journaler.Member
	lim := time.Now().Add(-peerSilence)
	for _, pee := range liv.gossiper.Peers() {
		if pee.Heard.After(lim) {
			out = append(out, journaler.Member{ID: pee.ID, Address: pee.Address})
		}
	}
	return out
}

func (ser *Server) newJournal() *journaler.Journal {
	return &journaler.Journal{
		Store: ser.persister, Self: journaler.Member{ID: ser.Settings.HostID, Address: ser.Settings.PeerListen},
		Members: liveHosts{ser.gossiper}, Peers: tracedPeers{ser.multiplexer}, Scope: ser.scope,
	}
}

// awaitClaims waits for claimed calls whose callers have left and for outcomes
// that are not recorded yet.
func (ser *Server) awaitClaims(ctx context.Context) {
	tic := time.NewTicker(claimPollTime)
	defer tic.Stop()
	for ser.executor.CallsInProgress() > 0 || ser.journal.Pending() > 0 {
		select {
		case <-tic.C:
		case <-ctx.Done():
			ser.Log.Warn().Int("Calls", ser.executor.CallsInProgress()).Int("Outcomes", ser.journal.Pending()).Msg("claims left at the drain time-out")
			return
		}
	}
}
