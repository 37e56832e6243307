package executor

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hemlockpin/connection/invoker"
	"hemlockpin/internal/answerer"
	"hemlockpin/request/receiver"
	"hemlockpin/request/responder"

	"github.com/stretchr/testify/require"
)

// TestInvalidReplies guards against bytes that HTTP/1.1 does not allow in an answer reaching the
// caller as the reply of a service, or being kept for repeats. The call may have run.
func TestInvalidReplies(t *testing.T) {
	for _, ans := range answerer.InvalidHeads() {
		t.Run(ans.Name, func(t *testing.T) {
			cla := &claimsRecorder{}
			exe := newExecutor(answerer.Serve(t, ans.Text("", "done")), cla)
			req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/bookings", strings.NewReader("slot"))
			req.Header.Set("Authorization", "Bearer "+bearer)
			req.Header.Set(receiver.KeyHeader, newKey())
			rec := httptest.NewRecorder()
			exe.Call(context.Background(), rec, req, serviceTables())
			require.Equal(t, http.StatusBadGateway, rec.Code, rec.Body)
			require.Equal(t, string(invoker.Unknown), rec.Header().Get(responder.RunHeader))
			require.NotContains(t, rec.Body.String(), "done")
			require.Nil(t, cla.outcome.GetBody())
		})
	}
}
