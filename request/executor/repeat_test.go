package executor

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/budgeter"
	"hemlockpin/request/placer"
	"hemlockpin/standin/booker"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// inTurn leases the endpoints in turn, without those excluded.
type inTurn struct {
	addresses []string
	next      atomic.Int64
	open      atomic.Int64
}

func (tur *inTurn) Acquire(_ context.Context, req placer.Request, _ parser.Pool) (Lease, error) {
	for range tur.addresses {
		add := tur.addresses[int(tur.next.Add(1))%len(tur.addresses)]
		if !slices.Contains(req.Excluded, add) {
			tur.open.Add(1)
			return Lease{Endpoint: add, Address: add, Release: func() { tur.open.Add(-1) }, Prefilled: func() {}}, nil
		}
	}
	return Lease{}, &RefusedError{Refuse: placer.Refuse{Code: "no_endpoint"}}
}

// slowed is a service of which every so many calls are slow.
func slowed(tb testing.TB, every int64, slow time.Duration) (string, *atomic.Int64) {
	tb.Helper()
	var cou atomic.Int64
	han := booker.New(booker.Settings{}).Handler()
	ser := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if cou.Add(1)%every == 0 {
			time.Sleep(slow)
		}
		han.ServeHTTP(wri, req)
	}))
	tb.Cleanup(ser.Close)
	return ser.Listener.Addr().String(), &cou
}

func tablesOf(repeatable bool) *matcher.Matcher {
	return matcher.New(parser.Tables{
		Revision: 1,
		Routes:   []parser.Route{{Name: "slots", Match: parser.Match{PathPrefix: "/"}, Pool: "counter", TimeLimit: parser.Duration(patience), Repeatable: repeatable}},
		Pools:    []parser.Pool{{Name: "counter", Kind: parser.PoolService, Selector: parser.Selector{Service: "counter"}}},
		Teams:    []parser.Team{{Name: "clerks", KeyDigests: []string{parser.DigestKey(bearer)}}},
	})
}

func callSlots(exe *Executor, mat *matcher.Matcher) *httptest.ResponseRecorder {
	req := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/slots", http.NoBody)
	req.Header.Set("Authorization", "Bearer "+bearer)
	rec := httptest.NewRecorder()
	exe.Call(context.Background(), rec, req, mat)
	return rec
}

// TestHedges has some calls slow, at different times on two services. Repeatable
// calls are sent again within the budget, those that are not never.
func TestHedges(t *testing.T) {
	for _, tt := range []struct {
		repeatable bool
		calls      int64
		most       float64
	}{
		{true, 400, budgeter.Burst/2 + budgeter.Share*400},
		{false, 50, 0},
	} {
		t.Run(fmt.Sprint(tt.repeatable), func(t *testing.T) {
			add, cou := slowed(t, 25, 20*time.Millisecond)
			oth, more := slowed(t, 39, 20*time.Millisecond)
			tur := &inTurn{addresses: []string{add, oth}}
			exe := newExecutor("", &heldClaims{})
			exe.Allocator = tur
			sco := tally.NewTestScope("", nil)
			exe.Scope = sco
			sta := time.Now()
			for range tt.calls {
				require.Equal(t, string(invoker.Ran), callSlots(exe, tablesOf(tt.repeatable)).Header().Get("Hemlockpin-Run"))
			}
			extra := float64(cou.Load() + more.Load() - tt.calls)
			require.LessOrEqual(t, extra, tt.most+budgeter.FloorRate*time.Since(sta).Seconds())
			require.Eventually(t, func() bool { return tur.open.Load() == 0 }, patience, time.Millisecond)
			if tt.repeatable {
				require.Positive(t, sco.Snapshot().Counters()["hedges_won+"].Value())
			}
		})
	}
}

// BenchmarkHedge has one call in fifty take 200 ms more, with hedges and with
// the budget spent.
func BenchmarkHedge(b *testing.B) {
	for _, spent := range []bool{false, true} {
		b.Run(fmt.Sprintf("spent=%t", spent), func(b *testing.B) {
			tur := &inTurn{}
			for range 3 {
				add, _ := slowed(b, 50, 200*time.Millisecond)
				tur.addresses = append(tur.addresses, add)
			}
			exe := newExecutor("", &heldClaims{})
			exe.Allocator = tur
			mat := tablesOf(true)
			var durs []time.Duration
			for b.Loop() {
				for spent && exe.Retries.Take(time.Now()) {
				}
				sta := time.Now()
				callSlots(exe, mat)
				durs = append(durs, time.Since(sta))
			}
			slices.Sort(durs)
			b.ReportMetric(durs[len(durs)*95/100].Seconds()*1000, "p95-ms")
			b.ReportMetric(durs[len(durs)*99/100].Seconds()*1000, "p99-ms")
		})
	}
}
