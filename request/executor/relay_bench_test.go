package executor_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
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

// fixedAllocator leases a fixed address.
type fixedAllocator struct{ address string }

func (all fixedAllocator) Acquire(context.Context, placer.Request, parser.Pool) (executor.Lease, error) {
	return executor.Lease{Endpoint: "engine-0", Address: all.address, Release: func() {}, Prefilled: func() {}}, nil
}

// writeTokens streams an answer, with a flush after every token if flushEach is set.
func writeTokens(wri http.ResponseWriter, req invoker.GenerateRequest, flushEach bool) {
	hea := wri.Header()
	hea.Set("Content-Type", "text/event-stream")
	hea.Set("Engine-Request-Id", req.RequestID)
	hea.Set("Engine-Attempt", strconv.Itoa(req.Attempt))
	hea.Set("Engine-Model", req.Model)
	hea.Set("Engine-Prompt-Tokens", strconv.FormatInt(req.PromptTokens, 10))
	wri.WriteHeader(http.StatusOK)
	con := http.NewResponseController(wri)
	var buf bytes.Buffer
	for i := range req.MaxTokens {
		fmt.Fprintf(&buf, "event: Token\ndata: {\"RequestID\":%q,\"Attempt\":%d,\"Index\":%d,\"Text\":\" t1234\"}\n\n", req.RequestID, req.Attempt, i)
		if flushEach || buf.Len() > 16<<10 {
			_, _ = wri.Write(buf.Bytes())
			_ = con.Flush()
			buf.Reset()
		}
	}
	fmt.Fprintf(&buf, "event: Finish\ndata: {\"RequestID\":%q,\"Attempt\":%d,\"Reason\":\"length\",\"PromptTokens\":%d,\"CompletionTokens\":%d}\n\n", req.RequestID, req.Attempt, req.PromptTokens, req.MaxTokens)
	_, _ = wri.Write(buf.Bytes())
}

func startEngine(b *testing.B, flushEach bool) string {
	ser := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		var req invoker.GenerateRequest
		_ = json.NewDecoder(htr.Body).Decode(&req)
		writeTokens(wri, req, flushEach)
	}))
	b.Cleanup(ser.Close)
	return strings.TrimPrefix(ser.URL, "http://")
}

func startHost(b *testing.B, engine string) string {
	tab := parser.Tables{
		Revision: 1,
		Routes:   []parser.Route{{Name: "all", Match: parser.Match{Model: "m"}, Pool: "p", TimeLimit: parser.Duration(time.Minute)}},
		Pools:    []parser.Pool{{Name: "p", Kind: parser.PoolEngine, Selector: parser.Selector{Service: "m"}}},
		Teams:    []parser.Team{{Name: "t", KeyDigests: []string{parser.DigestKey("k")}}},
	}
	mat := matcher.New(tab)
	exe := &executor.Executor{
		Owner: invoker.Owner{Host: "host-0", Incarnation: 1}, Invoker: &invoker.Invoker{}, Allocator: fixedAllocator{engine},
		Admitter: &admitter.Admitter{}, Clock: time.Now, Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""), MaxBodyBytes: 1 << 20,
	}
	ser := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		exe.Generate(req.Context(), wri, req, mat, false)
	}))
	b.Cleanup(ser.Close)
	return ser.URL
}

func postPrompt(b *testing.B, url string, tokens int64) *http.Response {
	bod := fmt.Sprintf(`{"model":"m","prompt":"Why does the treadle stick?","max_tokens":%d,"stream":true}`, tokens)
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/v1/completions", strings.NewReader(bod))
	require.NoError(b, err)
	req.Header.Set("Authorization", "Bearer k")
	res, err := http.DefaultClient.Do(req)
	require.NoError(b, err)
	require.Equal(b, http.StatusOK, res.StatusCode)
	return res
}

// BenchmarkRelay relays 64 streams at once through a host. The engine, the host and the
// callers share the processors, so run it with -cpu 1 for the rate of one core.
func BenchmarkRelay(b *testing.B) {
	for _, tt := range []struct {
		name      string
		flushEach bool
	}{{"batched", false}, {"flushed", true}} {
		b.Run(tt.name, func(b *testing.B) {
			const streams, tokens = 64, 2000
			url := startHost(b, startEngine(b, tt.flushEach))
			for b.Loop() {
				var wg sync.WaitGroup
				for range streams {
					wg.Go(func() {
						res := postPrompt(b, url, tokens)
						defer res.Body.Close()
						_, _ = io.Copy(io.Discard, res.Body)
					})
				}
				wg.Wait()
			}
			b.ReportMetric(float64(streams*tokens*b.N)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// BenchmarkFirstToken measures the time that the host adds to the first token, against
// the same engine called directly.
func BenchmarkFirstToken(b *testing.B) {
	eng := startEngine(b, true)
	url := startHost(b, eng)
	var direct, relayed []time.Duration
	for b.Loop() {
		start := time.Now()
		stream, err := (&http.Client{}).Post("http://"+eng, "application/json", strings.NewReader(`{"RequestID":"r","Attempt":1,"Model":"m","MaxTokens":4}`))
		require.NoError(b, err)
		direct = append(direct, firstToken(b, stream, start))
		stream.Body.Close()
		start = time.Now()
		res := postPrompt(b, url, 4)
		relayed = append(relayed, firstToken(b, res, start))
		res.Body.Close()
	}
	slices.Sort(direct)
	slices.Sort(relayed)
	b.ReportMetric(float64((relayed[len(relayed)/2] - direct[len(direct)/2]).Microseconds()), "added-µs-median")
}

func firstToken(b *testing.B, res *http.Response, start time.Time) time.Duration {
	rea := bufio.NewReader(res.Body)
	for {
		line, err := rea.ReadString('\n')
		require.NoError(b, err)
		if strings.Contains(line, " t1234") {
			elapsed := time.Since(start)
			_, _ = io.Copy(io.Discard, rea)
			return elapsed
		}
	}
}
