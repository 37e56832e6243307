package wholepath_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/internal/testkit"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// BenchmarkFirstTokenOfProcesses compares the time to the first token of a prompt
// that is sent to an engine process with that of the same prompt sent through a host
// process. Both are measured alternately on an idle fleet of three hosts.
func BenchmarkFirstTokenOfProcesses(b *testing.B) {
	bin, err := testkit.Build()
	require.NoError(b, err)
	fle, err := testkit.Start(b.Context(), testkit.Plan{
		Bin: bin, Hosts: 3, Engines: 2, Services: 1, Model: testkit.Model, Tables: testkit.SampleTables(),
	})
	require.NoError(b, err)
	b.Cleanup(fle.Stop)
	text := strings.Repeat("why ", 1000)
	var direct, through []time.Duration
	for b.Loop() {
		gen, err := json.Marshal(invoker.GenerateRequest{
			RequestID: uuid.NewString(), Attempt: 1, Owner: invoker.Owner{Host: "bench", Incarnation: 1}, Model: testkit.Model,
			Prompt: text, PromptTokens: 1000, MaxTokens: 4, BudgetMs: 10_000,
		})
		require.NoError(b, err)
		direct = append(direct, timeToFirstToken(b, "http://"+fle.Engines[0].Address+"/v1/generate", gen, "event: Token"))
		body, err := json.Marshal(map[string]any{"model": testkit.Model, "prompt": text, "max_tokens": 4, "stream": true})
		require.NoError(b, err)
		through = append(through, timeToFirstToken(b, "http://"+fle.Hosts[len(through)%3].Address+"/v1/completions", body, "data: "))
	}
	slices.Sort(direct)
	slices.Sort(through)
	b.ReportMetric(float64(direct[len(direct)/2].Microseconds()), "direct-µs-median")
	b.ReportMetric(float64(through[len(through)/2].Microseconds()), "through-µs-median")
	b.ReportMetric(float64((through[len(through)/2] - direct[len(direct)/2]).Microseconds()), "added-µs-median")
}

// timeToFirstToken returns the time until the first line with the given prefix. It
// reads the rest of the response afterwards.
func timeToFirstToken(b *testing.B, url string, body []byte, prefix string) time.Duration {
	b.Helper()
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url, bytes.NewReader(body))
	require.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+testkit.Key)
	start := time.Now()
	res, err := http.DefaultClient.Do(req)
	require.NoError(b, err)
	defer res.Body.Close()
	require.Equal(b, http.StatusOK, res.StatusCode)
	reader := bufio.NewReader(res.Body)
	for {
		line, err := reader.ReadString('\n')
		require.NoError(b, err)
		if strings.HasPrefix(line, prefix) {
			elapsed := time.Since(start)
			_, _ = io.Copy(io.Discard, reader)
			return elapsed
		}
	}
}
