package server

import (
	"time"

	"hemlockpin/process/gossiper"
	"hemlockpin/process/journaler"
)

// liveHosts names the live hosts that don't leave.
type liveHosts struct{ gossiper *gossiper.Gossiper }

// Live returns the hosts believed to be live.
func (liv liveHosts) Live() []journaler.Member {
	var out []journaler.Member
	for _, pee := range liv.gossiper.Live(time.Now()) {
		out = append(out, journaler.Member{ID: pee.ID, Address: pee.Address})
	}
	return out
}

func (ser *Server) newJournal() *journaler.Journal {
	return &journaler.Journal{
		Store: ser.persister, Self: journaler.Member{ID: ser.Settings.HostID, Address: ser.Settings.PeerListen},
		Members: liveHosts{ser.gossiper}, Peers: tracedPeers{ser.multiplexer}, Scope: ser.scope,
	}
}
