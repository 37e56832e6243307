package server

import (
	"time"

	"hemlockpin/process/gossiper"
	"hemlockpin/process/journaler"
)

// journalMembers lists the live hosts that are not leaving, for the journal.
type journalMembers struct{ gossiper *gossiper.Gossiper }

// Live returns the hosts that are live in this host's view.
func (mem journalMembers) Live() []journaler.Member {
	var out []journaler.Member
	for _, per := range mem.gossiper.Live(time.Now()) {
		out = append(out, journaler.Member{ID: per.ID, Address: per.Address})
	}
	return out
}

func (ser *Server) newJournal() *journaler.Journal {
	return &journaler.Journal{
		Store: ser.persister, Self: journaler.Member{ID: ser.Settings.HostID, Address: ser.Settings.PeerListen},
		Members: journalMembers{ser.gossiper}, Peers: tracedPeers{ser.multiplexer}, Scope: ser.scope,
	}
}
