package generator

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/hasher"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// script drives an engine step by step in simulated time.
type script struct {
	gen *Generator
	now time.Time
}

// Runs the scripts of testdata, which cover the prefix cache, reservations, the
// ownership of sequences and priorities.
func TestEngine(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		scr := &script{now: time.Unix(1_700_000_000, 0)}
		datadriven.RunTest(t, path, scr.run)
	})
}

func (scr *script) run(t *testing.T, dat *datadriven.TestData) string {
	arg := func(key string, def int64) int64 {
		if dat.HasArg(key) {
			dat.ScanArgs(t, key, &def)
		}
		return def
	}
	word := func(key string) string {
		var val string
		dat.MaybeScanArgs(t, key, &val)
		return val
	}
	own := invoker.Owner{Host: "host-a", Incarnation: uint64(arg("incarnation", 1))}
	switch dat.Cmd {
	case "engine":
		scr.gen = New(Settings{
			ID: "engine-0", MemoryTokens: arg("memory", 10_000), MaxBatch: 8, PrefillRate: 100_000, ChunkTokens: arg("chunk", 4096),
			Step: 10 * time.Millisecond, LoadLag: 100 * time.Millisecond, DetachGrace: time.Second,
		})
	case "add":
		req := invoker.GenerateRequest{
			RequestID: word("id"), Attempt: int(arg("attempt", 1)), Owner: own, Prompt: prompt(word("text"), arg("prompt", 1024)),
			PromptTokens: arg("prompt", 1024), MaxTokens: arg("tokens", 4), Priority: int(arg("priority", 0)), BudgetMs: 60_000,
			StartIndex: arg("start", 0), ReservationID: word("reservation"),
			Group: []invoker.Part{{Tokens: 1 << 20}},
		}
		_, _, ref := scr.gen.accept(req, newSequence(req, scr.now))
		if ref != nil {
			return "refused: " + ref.code
		}
	case "step":
		for range arg("n", 1) {
			stepTime := scr.gen.step(scr.now)
			scr.now = scr.now.Add(stepTime)
		}
	case "read":
		seq := scr.gen.sequences[word("id")]
		seq.nextRead = seq.next
		return fmt.Sprint(seq.next)
	case "detach":
		scr.gen.detach(scr.gen.sequences[word("id")], int(arg("attempt", 1)), scr.now)
	case "wait":
		scr.now = scr.now.Add(time.Duration(arg("ms", 0)) * time.Millisecond)
	case "cancel":
		scr.gen.removeOwned(invoker.FreeRequest{RequestID: word("id"), Attempt: int(arg("attempt", 1)), Owner: own})
	case "hold":
		wai := &waiter{
			reservation: invoker.Reservation{ReservationID: word("id"), Owner: own, Tokens: arg("tokens", 0)},
			at:          scr.now, expiresAt: scr.now.Add(time.Duration(arg("deadline", 60)) * time.Second), ready: make(chan *refusal, 1),
		}
		scr.gen.addWaiter(wai)
		scr.gen.grantWaiters(scr.now)
	case "release":
		scr.gen.dropHold(word("id"))
	}
	return scr.show()
}

func prompt(text string, tokens int64) string {
	return strings.Repeat(text+"....", int(tokens))[:tokens*hasher.BytesPerToken]
}

func (scr *script) show() string {
	loa := scr.gen.load(scr.now)
	var bui strings.Builder
	fmt.Fprintf(&bui, "used %d, cached %d, holds %d", loa.UsedTokens, loa.CachedTokens, len(scr.gen.holds))
	for _, seq := range append(append([]*sequence(nil), scr.gen.running...), scr.gen.waiting...) {
		fmt.Fprintf(&bui, "\n%s: %d/%d prefilled, %d generated, memory %d", seq.req.RequestID, seq.prefilled, seq.contextTokens(), seq.next, seq.memory)
	}
	return bui.String()
}

// A cached prefix is copied from one engine to another, and the export is freed
// only by its owner.
func TestTransfer(t *testing.T) {
	start := func() (*Generator, string) {
		gen := New(Settings{ID: "engine", MemoryTokens: 10_000, TransferRate: 1e9, LoadLag: time.Second})
		ser := httptest.NewServer(gen.Handler())
		t.Cleanup(ser.Close)
		return gen, strings.TrimPrefix(ser.URL, "http://")
	}
	from, fromAddress := start()
	to, toAddress := start()
	hashes := hasher.Blocks(prompt("shared", 4096))
	from.cache.store(hashes, time.Now())
	inv := &invoker.Invoker{}
	own := invoker.Owner{Host: "host-a", Incarnation: 1}
	require.NoError(t, inv.Export(t.Context(), fromAddress, "export-1", own, hashes))
	require.Equal(t, int64(4096), from.usedTokens())
	require.NoError(t, inv.Import(t.Context(), toAddress, fromAddress, "export-1", own))
	require.Equal(t, hashes, to.cache.match(hashes))
	// A request from another incarnation of the owner frees nothing.
	fre := invoker.FreeRequest{Kind: kindExport, ID: "export-1", Owner: invoker.Owner{Host: "host-a", Incarnation: 2}}
	require.NoError(t, inv.Free(t.Context(), fromAddress, fre))
	require.Equal(t, int64(4096), from.usedTokens())
	fre.Owner = own
	require.NoError(t, inv.Free(t.Context(), fromAddress, fre))
	require.Zero(t, from.usedTokens())
	var ine *invoker.Error
	require.ErrorAs(t, inv.Import(t.Context(), toAddress, fromAddress, "export-1", own), &ine)
	require.Equal(t, http.StatusBadGateway, ine.Status)
}

// Cache events are served only after their lag, and lost events leave gaps in
// the sequence numbers.
func TestEventsLagAndGap(t *testing.T) {
	var cac cache
	start := time.Unix(1_700_000_000, 0)
	for i := range uint64(6) {
		cac.store([]uint64{i}, start.Add(time.Duration(i)*time.Second))
	}
	var numbers []uint64
	for _, eve := range cac.after(1, 3, start.Add(4*time.Second)) {
		numbers = append(numbers, eve.Sequence)
	}
	require.Equal(t, []uint64{2, 4, 5}, numbers)
}

// Measures the size of a load report with 180 sequences in normal use: in full,
// and with MinIdleMs as the reclaimer requests it.
func BenchmarkReport(b *testing.B) {
	gen := New(Settings{ID: "engine", Models: []string{"m"}, MemoryTokens: 10_000_000, MaxBatch: 200, PrefillRate: 1e9, ChunkTokens: 1 << 20, Step: time.Millisecond})
	now := time.Now()
	for i := range 180 {
		id := fmt.Sprintf("01a23f43-ccd3-7318-a753-%012d", i)
		req := invoker.GenerateRequest{RequestID: id, Attempt: 1, Owner: invoker.Owner{Host: "host-100", Incarnation: 1796357735671357650}, Prompt: id, PromptTokens: 1000, MaxTokens: 200, BudgetMs: 30_000}
		_, _, ref := gen.accept(req, newSequence(req, now))
		require.Nil(b, ref)
	}
	gen.step(now)
	gen.recordLoad(now)
	for _, query := range []string{"", "?MinIdleMs=5000"} {
		b.Run("load"+query, func(b *testing.B) {
			var size int
			for b.Loop() {
				rec := httptest.NewRecorder()
				gen.getLoad(rec, httptest.NewRequest(http.MethodGet, "/v1/load"+query, nil))
				size = rec.Body.Len()
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
