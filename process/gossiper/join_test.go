package gossiper

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/multiplexer"
	"hemlockpin/connection/persister"
	"hemlockpin/process/publisher"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

// startPeer starts a gossiper that has a revision of the tables in force and knows the
// seeds, and returns it with its address.
func startPeer(t *testing.T, id string, revision uint64, seeds []string) (*Gossiper, string) {
	t.Helper()
	return startPeerAt(t, "127.0.0.1:0", id, revision, seeds)
}

// startPeerAt is like startPeer, at a given address.
func startPeerAt(t *testing.T, address, id string, revision uint64, seeds []string) (*Gossiper, string) {
	t.Helper()
	lis, err := net.Listen("tcp", address)
	require.NoError(t, err)
	pub := &publisher.Publisher{}
	if revision > 0 {
		_, err = pub.Adopt(parser.Tables{}.WithRevision(revision, "n"))
		require.NoError(t, err)
	}
	gos := &Gossiper{
		Self:      &messenger.Member{Id: id, Address: lis.Addr().String(), Incarnation: 1},
		Publisher: pub, Seeds: seeds, Entries: func() []persister.Entry { return nil },
	}
	gos.Multiplexer = &multiplexer.Multiplexer{Handler: func(ctx context.Context, env *messenger.Envelope) *messenger.Envelope {
		switch bod := env.GetBody().(type) {
		case *messenger.Envelope_Ping:
			return gos.HandlePing(ctx, bod.Ping, time.Now())
		case *messenger.Envelope_MembersPull:
			return gos.HandleMembersPull(ctx, bod.MembersPull, time.Now())
		case *messenger.Envelope_TablesPull:
			return gos.HandleTablesPull(bod.TablesPull)
		default:
			return messenger.NewFailure("unknown", "unknown")
		}
	}}
	go func() { _ = gos.Multiplexer.Serve(lis) }()
	t.Cleanup(func() {
		lis.Close()
		gos.Multiplexer.Close()
	})
	return gos, lis.Addr().String()
}

// A starting host must pull the tables from several peers before it has joined, so
// that it does not serve with the old tables of a lagging peer.
func TestJoinAsksSeveralPeers(t *testing.T) {
	for newest := range joinPeers {
		t.Run(fmt.Sprintf("the newest is seed %d", newest), func(t *testing.T) {
			var seeds []string
			for i := range joinPeers {
				rev := uint64(1)
				if i == newest {
					rev = 2
				}
				_, addr := startPeer(t, fmt.Sprintf("peer-%d", i), rev, nil)
				seeds = append(seeds, addr)
			}
			gos, _ := startPeer(t, "new", 0, seeds)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			done := make(chan struct{})
			go func() {
				defer close(done)
				gos.runSync(ctx, time.Hour)
			}()
			require.Eventually(t, gos.Joined, 10*time.Second, time.Millisecond)
			require.Equal(t, uint64(2), gos.Publisher.Current().Revision())
			stop()
			<-done
		})
	}
}

// A host that reaches no peer must count as joined after joinTimeout.
func TestJoinAlone(t *testing.T) {
	gos, _ := startPeer(t, "alone", 0, []string{"127.0.0.1:1"})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	require.False(t, gos.Joined())
	go gos.runSync(ctx, 100*time.Millisecond)
	require.Eventually(t, gos.Joined, 10*time.Second, 10*time.Millisecond)
}

// TestMembersPullWithoutIncarnation pulls the members for a starting process that has no
// incarnation yet: it must receive only the member with its own ID and must not become a member.
func TestMembersPullWithoutIncarnation(t *testing.T) {
	gos, addr := startPeer(t, "peer", 1, nil)
	for i := range 50 {
		gos.MergePeer(Peer{ID: fmt.Sprintf("host-%d", i), Address: "127.0.0.1:1", Incarnation: uint64(i + 1), State: StateDead})
		gos.MergePeer(Peer{ID: fmt.Sprintf("host-%d", i), Address: "127.0.0.1:1", Incarnation: uint64(i + 2), State: StateAlive})
	}
	mul := &multiplexer.Multiplexer{}
	defer mul.Close()
	pull := func(from *messenger.Member) []*messenger.Member {
		rep, err := mul.Call(t.Context(), addr, &messenger.Envelope{Body: &messenger.Envelope_MembersPull{MembersPull: &messenger.MembersPull{From: from}}})
		require.NoError(t, err)
		return rep.GetMembersPush().GetMembers()
	}
	members := pull(&messenger.Member{Id: "host-7"})
	require.Len(t, members, 1)
	require.EqualValues(t, 9, members[0].GetIncarnation())
	require.Empty(t, pull(&messenger.Member{Id: "new"}))
	require.Len(t, gos.Peers(), 50)
	require.Len(t, pull(&messenger.Member{Id: "new", Address: "127.0.0.1:2", Incarnation: 5}), 52)
}
