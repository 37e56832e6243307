package executor_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"hemlockpin/connection/invoker"

	"github.com/stretchr/testify/require"
)

// TestLongTokens guards against an engine in trouble whose tokens are sound but so long that the
// text of the answer has no end within the limit of tokens. The host must break off the stream.
func TestLongTokens(t *testing.T) {
	const tokens, maxSent = 10_000, 128 << 20
	var sent, runs atomic.Int64
	text := strings.Repeat("x", 256<<10)
	eng := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		var req invoker.GenerateRequest
		if htr.URL.Path != "/v1/generate" || json.NewDecoder(htr.Body).Decode(&req) != nil {
			return
		}
		runs.Add(1)
		writeTokenRange(wri, req, 0, 0)
		for i := req.StartIndex; i < req.MaxTokens && sent.Load() < 4*maxSent; i++ {
			n, err := fmt.Fprintf(wri, "event: Token\ndata: {\"RequestID\":%q,\"Attempt\":%d,\"Index\":%d,\"Text\":%q}\n\n", req.RequestID, req.Attempt, i, text)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}))
	t.Cleanup(eng.Close)
	_, status, _ := answerPrompt(t, fixedAllocator{strings.TrimPrefix(eng.URL, "http://")}, "Why?", tokens)
	require.Equal(t, http.StatusBadGateway, status)
	require.Less(t, sent.Load(), int64(maxSent))
	require.EqualValues(t, 1, runs.Load(), "no other run can continue the answer")
}
