package allocator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/process/scheduler"
	"hemlockpin/request/placer"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// grantReplies has the reply of each address. A call to another address gets no reply.
type grantReplies map[string]*messenger.Grant

func (rep grantReplies) Call(ctx context.Context, address string, _ *messenger.Envelope) (*messenger.Envelope, error) {
	gra := rep[address]
	if gra == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &messenger.Envelope{Body: &messenger.Envelope_Grant{Grant: gra}}, nil
}

func newCells(hosts int, peers PeerClient) *Cells {
	var ents []persister.Entry
	for i := range hosts {
		id := fmt.Sprintf("h%d", i)
		ents = append(ents, persister.Entry{ID: id, Kind: persister.KindHost, Address: id})
	}
	return &Cells{Self: "self", Entries: func() []persister.Entry { return ents }, Peers: peers, Scope: tally.NoopScope}
}

// cellWithCandidates returns a cell whose first two candidates are the given hosts.
func cellWithCandidates(t *testing.T, cel *Cells, first, second string) string {
	for number := range 10_000 {
		cell := fmt.Sprint("pool/", number)
		if ran := cel.rankHosts(cell, "", time.Now()); ran[0].id == first && ran[1].id == second {
			return cell
		}
	}
	require.FailNow(t, "no cell has the candidates")
	return ""
}

// TestRequestTriesNextScheduler checks that a request whose first scheduler does not
// answer goes to the next, and that the first gets no requests for suspectPeriod.
func TestRequestTriesNextScheduler(t *testing.T) {
	cel := newCells(3, grantReplies{"h1": {Endpoint: "e1", Address: "a1"}})
	cell := cellWithCandidates(t, cel, "h0", "h1")
	act, hos, err := cel.submit(t.Context(), cell, "pool", scheduler.Request{ID: "x"})
	require.NoError(t, err)
	require.Equal(t, "h1", hos.id)
	require.Equal(t, scheduler.Grant{ID: "x", Endpoint: "e1", Address: "a1"}, act)
	require.NotContains(t, hostIDs(cel.candidates(cell, "", time.Now())), "h0", "an unresponsive scheduler gets no request for a while")
	require.Contains(t, hostIDs(cel.candidates(cell, "", time.Now().Add(suspectPeriod+time.Second))), "h0")
}

func hostIDs(hosts []host) []string {
	var out []string
	for _, hos := range hosts {
		out = append(out, hos.id)
	}
	return out
}

// TestRequestWithoutScheduler checks that a request that no scheduler answers is to be
// placed from the local view.
func TestRequestWithoutScheduler(t *testing.T) {
	cel := newCells(3, grantReplies{})
	cell := cellWithCandidates(t, cel, "h0", "h1")
	_, _, err := cel.submit(t.Context(), cell, "pool", scheduler.Request{ID: "x"})
	require.True(t, eris.Is(err, errNoScheduler))
}

// TestCancelledRequest cancels a request while a scheduler holds it. The scheduler
// must get a release and must not be suspected.
func TestCancelledRequest(t *testing.T) {
	cel := newCells(3, grantReplies{"h0": {Waiting: true}, "h1": {Waiting: true}})
	cell := cellWithCandidates(t, cel, "h0", "h1")
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	_, _, err := cel.submit(ctx, cell, "pool", scheduler.Request{ID: "x", Request: placer.Request{Deadline: time.Now().Add(time.Minute)}})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Empty(t, cel.suspects)
	require.Equal(t, messenger.GrantNotice_KIND_RELEASED, cel.notices["h0"][0].GetKind())
}

// TestGrantEncoding checks that an action survives the encoding between hosts.
func TestGrantEncoding(t *testing.T) {
	for _, act := range []scheduler.Action{
		scheduler.Grant{ID: "x", Endpoint: "e", Address: "a"},
		scheduler.GrantGroup{ID: "x", Parts: []placer.Part{{Endpoint: "e", Address: "a", Tokens: 5}, {Endpoint: "f", Address: "b", Tokens: 6}}},
		scheduler.Refuse{ID: "x", Refuse: placer.Refuse{Code: scheduler.CodeOverloaded, Message: "m", RetryAfter: 2 * time.Second}},
	} {
		require.Equal(t, act, decodeAction("x", encodeAction(act)))
	}
	require.True(t, encodeAction(nil).GetWaiting())
}

// BenchmarkRemoteRequest measures the work of the requesting host for a request to a
// remote scheduler, without the network.
func BenchmarkRemoteRequest(b *testing.B) {
	for _, hosts := range []int{20, 920} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			rep := grantReplies{}
			for i := range hosts {
				rep[fmt.Sprintf("h%d", i)] = &messenger.Grant{Endpoint: "e", Address: "a"}
			}
			cel := newCells(hosts, rep)
			b.ReportAllocs()
			for b.Loop() {
				cell := cel.chooseCell("region/pool", scheduler.CellCount(1000), placer.Request{}, time.Now())
				if _, _, err := cel.submit(b.Context(), cell, "pool", scheduler.Request{ID: "x"}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
