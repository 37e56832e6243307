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

// movingAllocator leases the source engine and offers the target for a move. doneCode
// sums the calls of Done: 11 for Done(true), 1 for Done(false).
type movingAllocator struct {
	source, target string
	doneCode       atomic.Int64
}

func (mov *movingAllocator) Acquire(context.Context, placer.Request, parser.Pool) (executor.Lease, error) {
	offer := func(context.Context) (executor.Target, bool) {
		return executor.Target{Endpoint: "target", Address: mov.target, Done: func(moved bool) {
			if moved {
				mov.doneCode.Add(10)
			}
			mov.doneCode.Add(1)
		}}, true
	}
	return executor.Lease{Endpoint: "source", Address: mov.source, Release: func() {}, Prefilled: func() {}, FindTarget: offer}, nil
}

// startGenerator starts an engine. It calls abort with the path of each request, and
// aborts the connection if abort returns true.
func startGenerator(t *testing.T, step time.Duration, abort func(eng *generator.Generator, path string) bool) (*generator.Generator, *httptest.Server) {
	t.Helper()
	eng := generator.New(generator.Settings{
		Models: []string{"m"}, MemoryTokens: 400_000, MaxBatch: 64, PrefillRate: 200_000, ChunkTokens: 4096, Step: step,
		IdleEvery: 100 * time.Millisecond, DetachGrace: 200 * time.Millisecond, TransferRate: 2e6,
	})
	stop := make(chan struct{})
	go eng.Run(stop)
	ser := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		if abort(eng, htr.URL.Path) {
			panic(http.ErrAbortHandler)
		}
		eng.Handler().ServeHTTP(wri, htr)
	}))
	t.Cleanup(func() { ser.CloseClientConnections(); ser.Close(); close(stop) })
	return eng, ser
}

// TestMove lets each step of a move fail once. The answer must be complete, and neither
// engine may keep memory. doneCode must be 11 if the request moved and 1 if it stayed:
// any other sum means that Done was not called exactly once.
func TestMove(t *testing.T) {
	tests := []struct {
		name     string
		blocks   int
		step     time.Duration
		source   string
		target   string
		doneCode int64
	}{
		{"moves", 3, time.Millisecond, "", "", 11},
		{"moves a prompt without blocks", 0, time.Millisecond, "", "", 11},
		{"export fails", 3, time.Millisecond, "/v1/kv/export", "", 1},
		{"import fails", 3, time.Millisecond, "", "/v1/kv/import", 1},
		{"export can't be fetched", 3, time.Millisecond, "/v1/kv/fetch", "", 1},
		{"dispatch fails", 3, time.Millisecond, "", "/v1/generate", 1},
		{"target too slow", 3, 30 * time.Millisecond, "", "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			abortOn := func(failingPath string) func(*generator.Generator, string) bool {
				return func(_ *generator.Generator, path string) bool { return path == failingPath }
			}
			_, src := startGenerator(t, 10*time.Millisecond, abortOn(tt.source))
			_, tar := startGenerator(t, tt.step, abortOn(tt.target))
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
			require.Equal(t, tt.doneCode, alloc.doneCode.Load())
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
	require.Equal(t, int64(1), alloc.doneCode.Load())
	requireEmpty(t, tar.URL)
}

// TestTargetTakesOver guards against a lost answer when the source fails during a move:
// here, once the target receives the request. The allocator has no other engine.
func TestTargetTakesOver(t *testing.T) {
	var sourceFailed atomic.Bool
	_, src := startGenerator(t, 10*time.Millisecond, func(*generator.Generator, string) bool { return sourceFailed.Load() })
	_, tar := startGenerator(t, 10*time.Millisecond, func(_ *generator.Generator, path string) bool {
		if path == "/v1/generate" {
			sourceFailed.Store(true)
			src.CloseClientConnections()
		}
		return false
	})
	alloc := &movingAllocator{source: src.Listener.Addr().String(), target: tar.Listener.Addr().String()}
	exe, bod := generatePrompt(t, alloc, "Why?", 120)
	require.NotContains(t, bod, "error")
	exe.WaitForCleanup()
	require.Equal(t, int64(11), alloc.doneCode.Load())
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
