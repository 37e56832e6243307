package executor_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/admitter"
	"hemlockpin/request/executor"
	"hemlockpin/request/placer"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
)

// TestResumeAfterDispatchWithoutAnswer checks that an engine which closes the
// connection without an answer is called once more over a new connection.
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
	text := generateAnswer(t, fixedAllocator{strings.TrimPrefix(eng.URL, "http://")})
	require.Contains(t, text, strings.Repeat(" t1234", 20))
}

// choosingAllocator leases the first address that is not excluded.
type choosingAllocator []string

func (all choosingAllocator) Acquire(_ context.Context, req placer.Request, _ parser.Pool) (executor.Lease, error) {
	for _, address := range all {
		if !slices.Contains(req.Excluded, address) {
			return executor.Lease{Endpoint: address, Address: address, Release: func() {}, Prefilled: func() {}}, nil
		}
	}
	return executor.Lease{}, &executor.RefusedError{Refuse: placer.Refuse{Code: "no_endpoint"}}
}

// TestExcludeEngineThatBreaksEveryStream checks that an engine which aborts every
// stream after some tokens is excluded after its second attempt, however many tokens
// the caller has received.
func TestExcludeEngineThatBreaksEveryStream(t *testing.T) {
	badEngine := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		var req invoker.GenerateRequest
		if htr.URL.Path != "/v1/generate" || json.NewDecoder(htr.Body).Decode(&req) != nil {
			return
		}
		writeTokenRange(wri, req, req.StartIndex, req.StartIndex+1)
	}))
	t.Cleanup(badEngine.Close)
	goodEngine := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		var req invoker.GenerateRequest
		if htr.URL.Path != "/v1/generate" || json.NewDecoder(htr.Body).Decode(&req) != nil {
			return
		}
		writeTokenRange(wri, req, req.StartIndex, req.MaxTokens)
		fmt.Fprintf(wri, "event: Finish\ndata: {\"RequestID\":%q,\"Attempt\":%d,\"Reason\":\"length\",\"PromptTokens\":%d,\"CompletionTokens\":%d}\n\n", req.RequestID, req.Attempt, req.PromptTokens, req.MaxTokens)
	}))
	t.Cleanup(goodEngine.Close)
	text := generateAnswer(t, choosingAllocator{strings.TrimPrefix(badEngine.URL, "http://"), strings.TrimPrefix(goodEngine.URL, "http://")})
	require.Contains(t, text, "t0 t1 t2 t3 t4 t5 t6 t7 t8 t9 t10 t11 t12 t13 t14 t15 t16 t17 t18 t19")
}

// writeTokenRange streams the tokens with the indexes from (inclusive) to (exclusive).
func writeTokenRange(wri http.ResponseWriter, req invoker.GenerateRequest, from, to int64) {
	hea := wri.Header()
	hea.Set("Content-Type", "text/event-stream")
	hea.Set("Engine-Request-Id", req.RequestID)
	hea.Set("Engine-Attempt", strconv.Itoa(req.Attempt))
	hea.Set("Engine-Model", req.Model)
	hea.Set("Engine-Prompt-Tokens", strconv.FormatInt(req.PromptTokens, 10))
	for i := from; i < to; i++ {
		fmt.Fprintf(wri, "event: Token\ndata: {\"RequestID\":%q,\"Attempt\":%d,\"Index\":%d,\"Text\":\" t%d\"}\n\n", req.RequestID, req.Attempt, i, i)
	}
}

// generateAnswer requests an answer of 20 tokens from a host and returns the body.
func generateAnswer(t *testing.T, alloc executor.Allocator) string {
	t.Helper()
	_, bod := generatePrompt(t, alloc, "Why?", 20)
	return bod
}

func generatePrompt(t *testing.T, alloc executor.Allocator, prompt string, tokens int) (*executor.Executor, string) {
	t.Helper()
	exe, status, text := answerPrompt(t, alloc, prompt, tokens)
	require.Equal(t, http.StatusOK, status, text)
	return exe, text
}

// answerPrompt sends a prompt to a host and returns the status and the body of the answer.
func answerPrompt(t *testing.T, alloc executor.Allocator, prompt string, tokens int) (exe *executor.Executor, status int, text string) {
	t.Helper()
	mat := matcher.New(parser.Tables{
		Revision: 1,
		Routes:   []parser.Route{{Name: "all", Match: parser.Match{Model: "m"}, Pool: "p", TimeLimit: parser.Duration(10 * time.Second)}},
		Pools:    []parser.Pool{{Name: "p", Kind: parser.PoolEngine, Selector: parser.Selector{Service: "m"}}},
		Teams:    []parser.Team{{Name: "t", KeyDigests: []string{parser.DigestKey("k")}}},
	})
	exe = &executor.Executor{
		Owner: invoker.Owner{Host: "host-0", Incarnation: 1}, Invoker: &invoker.Invoker{},
		Allocator: alloc, Admitter: &admitter.Admitter{}, Clock: time.Now,
		Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""), MaxBodyBytes: 1 << 20,
	}
	host := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		exe.Generate(req.Context(), wri, req, mat, false)
	}))
	t.Cleanup(host.Close)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, host.URL+"/v1/completions", strings.NewReader(fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d}`, prompt, tokens)))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer k")
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	buf, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return exe, res.StatusCode, string(buf)
}
