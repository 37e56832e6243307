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

// answers replies to calls by the address that is called.
type answers map[string]*messenger.Grant

func (ans answers) Call(ctx context.Context, address string, _ *messenger.Envelope) (*messenger.Envelope, error) {
	gra := ans[address]
	if gra == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &messenger.Envelope{Body: &messenger.Envelope_Grant{Grant: gra}}, nil
}

func newCells(hosts int, cal Caller) *Cells {
	var ents []persister.Entry
	for ind := range hosts {
		id := fmt.Sprintf("h%d", ind)
		ents = append(ents, persister.Entry{ID: id, Kind: persister.KindEntry, Address: id})
	}
	return &Cells{Self: "self", Entries: func() []persister.Entry { return ents }, Caller: cal, Scope: tally.NoopScope}
}

// cellOf returns a cell whose candidates, among the hosts, begin with the first
// two given.
func cellOf(t *testing.T, cel *Cells, fir, sec string) string {
	for num := range 10_000 {
		nam := fmt.Sprint("pool/", num)
		if ran := cel.rank(nam, "", time.Now()); ran[0].id == fir && ran[1].id == sec {
			return nam
		}
	}
	require.FailNow(t, "no cell has the candidates")
	return ""
}

func TestAskTurnsToNextScheduler(t *testing.T) {
	cel := newCells(3, answers{"h1": {Endpoint: "e1", Address: "a1"}})
	nam := cellOf(t, cel, "h0", "h1")
	act, hos, err := cel.ask(t.Context(), nam, "pool", scheduler.Request{ID: "x"})
	require.NoError(t, err)
	require.Equal(t, "h1", hos.id)
	require.Equal(t, scheduler.Grant{ID: "x", Endpoint: "e1", Address: "a1"}, act)
	require.NotContains(t, ids(cel.candidates(nam, "", time.Now())), "h0", "a silent scheduler is not asked again at once")
	require.Contains(t, ids(cel.candidates(nam, "", time.Now().Add(suspectPeriod+time.Second))), "h0")
}

func ids(hoss []host) []string {
	var out []string
	for _, hos := range hoss {
		out = append(out, hos.id)
	}
	return out
}

func TestAskWithoutScheduler(t *testing.T) {
	cel := newCells(3, answers{})
	nam := cellOf(t, cel, "h0", "h1")
	_, _, err := cel.ask(t.Context(), nam, "pool", scheduler.Request{ID: "x"})
	require.True(t, eris.Is(err, errNoScheduler))
}

// TestAskEndsWithRequest gives a request up while a scheduler holds it. The
// scheduler is told and is not suspected.
func TestAskEndsWithRequest(t *testing.T) {
	cel := newCells(3, answers{"h0": {Waiting: true}, "h1": {Waiting: true}})
	nam := cellOf(t, cel, "h0", "h1")
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	_, _, err := cel.ask(ctx, nam, "pool", scheduler.Request{ID: "x", Request: placer.Request{Deadline: time.Now().Add(time.Minute)}})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Empty(t, cel.suspects)
	require.Equal(t, messenger.GrantNotice_KIND_RELEASED, cel.notices["h0"][0].GetKind())
}

func TestGrantsSurviveTheWire(t *testing.T) {
	for _, act := range []scheduler.Action{
		scheduler.Grant{ID: "x", Endpoint: "e", Address: "a"},
		scheduler.GrantGroup{ID: "x", Parts: []placer.Part{{Endpoint: "e", Address: "a", Tokens: 5}, {Endpoint: "f", Address: "b", Tokens: 6}}},
		scheduler.Refuse{ID: "x", Refuse: placer.Refuse{Code: scheduler.CodeOverloaded, Message: "m", RetryAfter: 2 * time.Second}},
	} {
		require.Equal(t, act, actionOf("x", grantOf(act)))
	}
	require.True(t, grantOf(nil).GetWaiting())
}

// BenchmarkAskRemote is the part of an ask on the asking host, without the wire.
func BenchmarkAskRemote(b *testing.B) {
	for _, cou := range []int{20, 920} {
		b.Run(fmt.Sprintf("hosts=%d", cou), func(b *testing.B) {
			ans := answers{}
			for ind := range cou {
				ans[fmt.Sprintf("h%d", ind)] = &messenger.Grant{Endpoint: "e", Address: "a"}
			}
			cel := newCells(cou, ans)
			b.ReportAllocs()
			for b.Loop() {
				nam := cel.choose("region/pool", scheduler.CellCount(1000), placer.Request{}, time.Now())
				if _, _, err := cel.ask(b.Context(), nam, "pool", scheduler.Request{ID: "x"}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
