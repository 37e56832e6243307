package executor_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/admitter"
	"hemlockpin/request/executor"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
)

// An engine that closes the connection of a dispatch without an answer gets a
// second try over a new one.
func TestResumeAfterDispatchWithoutAnswer(t *testing.T) {
	var dispatches atomic.Int64
	eng := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		if htr.URL.Path != "/v1/generate" {
			return
		}
		var req invoker.GenerateRequest
		_ = json.NewDecoder(htr.Body).Decode(&req)
		if dispatches.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		writeTokens(wri, req, true)
	}))
	t.Cleanup(eng.Close)
	mat := matcher.New(parser.Tables{
		Revision: 1,
		Routes:   []parser.Route{{Name: "all", Match: parser.Match{Model: "m"}, Pool: "p", TimeLimit: parser.Duration(10 * time.Second)}},
		Pools:    []parser.Pool{{Name: "p", Kind: parser.PoolEngine, Selector: parser.Selector{Service: "m"}}},
		Teams:    []parser.Team{{Name: "t", KeyDigests: []string{parser.DigestKey("k")}}},
	})
	exe := &executor.Executor{
		Owner: invoker.Owner{Host: "host-0", Incarnation: 1}, Invoker: &invoker.Invoker{},
		Allocator: fixedAllocator{strings.TrimPrefix(eng.URL, "http://")}, Admitter: &admitter.Admitter{}, Clock: time.Now,
		Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""), MaxBodyBytes: 1 << 20,
	}
	hos := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		exe.Generate(req.Context(), wri, req, mat, false)
	}))
	t.Cleanup(hos.Close)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, hos.URL+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"Why?","max_tokens":3}`))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer k")
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	txt, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode, string(txt))
	require.Contains(t, string(txt), fmt.Sprintf("%q", " t1234 t1234 t1234"))
}
