package executor_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/executor"
	"hemlockpin/request/placer"
	"hemlockpin/standin/generator"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

// movingAllocator leases the source engine and offers the target for a move.
type movingAllocator struct {
	source, target string
	done           atomic.Int64
}

func (mov *movingAllocator) Acquire(context.Context, placer.Request, parser.Pool) (executor.Lease, error) {
	offer := func(context.Context) (executor.Target, bool) {
		return executor.Target{Endpoint: "target", Address: mov.target, Done: func(moved bool) {
			if moved {
				mov.done.Add(10)
			}
			mov.done.Add(1)
		}}, true
	}
	return executor.Lease{Endpoint: "source", Address: mov.source, Release: func() {}, Prefilled: func() {}, FindTarget: offer}, nil
}

// startGenerator starts an engine. It calls seen with the path of each request, and
// aborts the connection if seen returns true.
func startGenerator(t *testing.T, step time.Duration, seen func(eng *generator.Generator, path string) bool) (*generator.Generator, *httptest.Server) {
	t.Helper()
	eng := generator.New(generator.Settings{
		Models: []string{"m"}, MemoryTokens: 400_000, MaxBatch: 64, PrefillRate: 200_000, ChunkTokens: 4096, Step: step,
		IdleEvery: 100 * time.Millisecond, DetachGrace: 200 * time.Millisecond, TransferRate: 2e6,
	})
	stop := make(chan struct{})
	go eng.Run(stop)
	ser := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		if seen(eng, htr.URL.Path) {
			panic(http.ErrAbortHandler)
		}
		eng.Handler().ServeHTTP(wri, htr)
	}))
	t.Cleanup(func() { ser.CloseClientConnections(); ser.Close(); close(stop) })
	return eng, ser
}

// TestMove lets each step of a move fail once. The answer must be complete and neither
// engine may keep memory. The outcome is 11 if the request moved and 1 if it stayed.
func TestMove(t *testing.T) {
	tests := []struct {
		name    string
		blocks  int
		step    time.Duration
		source  string
		target  string
		outcome int64
	}{
		{"moves", 3, time.Millisecond, "", "", 11},
		{"moves a prompt without blocks", 0, time.Millisecond, "", "", 11},
		{"export fails", 3, time.Millisecond, "/v1/kv/export", "", 1},
		{"import fails", 3, time.Millisecond, "", "/v1/kv/import", 1},
		{"export can't be fetched", 3, time.Millisecond, "/v1/kv/fetch", "", 1},
		{"dispatch fails", 3, time.Millisecond, "", "/v1/generate", 1},
		{"stays behind", 3, 30 * time.Millisecond, "", "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			breaks := func(failingPath string) func(*generator.Generator, string) bool {
				return func(_ *generator.Generator, path string) bool { return path == failingPath }
			}
			_, src := startGenerator(t, 10*time.Millisecond, breaks(tt.source))
			_, tar := startGenerator(t, tt.step, breaks(tt.target))
			alloc := &movingAllocator{source: src.Listener.Addr().String(), target: tar.Listener.Addr().String()}
			pro := strings.Repeat("word", 1024*tt.blocks) + "?"
			exe, bod := generatePrompt(t, alloc, pro, 120)
			var want strings.Builder
			for i := range int64(120) {
				want.WriteString(generator.TokenText(pro, 0, i))
			}
			require.Contains(t, bod, want.String())
			require.NotContains(t, bod, `"cached_tokens":3072`)
			exe.WaitForCleanup()
			require.Equal(t, tt.outcome, alloc.done.Load())
			_, running := exe.Attempt("")
			require.False(t, running)
			requireEmpty(t, src.URL)
			requireEmpty(t, tar.URL)
		})
	}
}

// TestMoveComparesTokens guards against a switch to an engine that generates other
// tokens: the answer must stay on the source.
func TestMoveComparesTokens(t *testing.T) {
	none := func(*generator.Generator, string) bool { return false }
	_, src := startGenerator(t, 10*time.Millisecond, none)
	eng, _ := startGenerator(t, time.Millisecond, none)
	tar := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		bod, _ := io.ReadAll(htr.Body)
		htr.Body = io.NopCloser(bytes.NewReader(bytes.Replace(bod, []byte(`"Seed":0`), []byte(`"Seed":7`), 1)))
		eng.Handler().ServeHTTP(wri, htr)
	}))
	defer tar.Close()
	alloc := &movingAllocator{source: src.Listener.Addr().String(), target: tar.Listener.Addr().String()}
	exe, bod := generatePrompt(t, alloc, "Why?", 120)
	for i := range int64(120) {
		require.Contains(t, bod, generator.TokenText("Why?", 0, i))
	}
	exe.WaitForCleanup()
	require.Equal(t, int64(1), alloc.done.Load())
	requireEmpty(t, tar.URL)
}

// TestMoveTakesOver lets the source fail when the target receives the request. The
// allocator has no other engine, so only the move can save the answer.
func TestMoveTakesOver(t *testing.T) {
	var dead atomic.Bool
	_, src := startGenerator(t, 10*time.Millisecond, func(*generator.Generator, string) bool { return dead.Load() })
	_, tar := startGenerator(t, 10*time.Millisecond, func(_ *generator.Generator, path string) bool {
		if path == "/v1/generate" {
			dead.Store(true)
			src.CloseClientConnections()
		}
		return false
	})
	alloc := &movingAllocator{source: src.Listener.Addr().String(), target: tar.Listener.Addr().String()}
	exe, bod := generatePrompt(t, alloc, "Why?", 120)
	require.NotContains(t, bod, "error")
	exe.WaitForCleanup()
	require.Equal(t, int64(11), alloc.done.Load())
	requireEmpty(t, tar.URL)
}

// requireEmpty waits until an engine holds no memory.
func requireEmpty(t *testing.T, url string) {
	t.Helper()
	var loa invoker.Load
	require.Eventually(t, func() bool {
		var err error
		loa, err = (&invoker.Invoker{}).Load(t.Context(), strings.TrimPrefix(url, "http://"))
		return err == nil && loa.UsedTokens == 0 && len(loa.Sequences) == 0
	}, 5*time.Second, 20*time.Millisecond, "%+v", &loa)
}
