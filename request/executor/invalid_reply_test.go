package executor

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
	"hemlockpin/internal/testkit/answerer"
	"hemlockpin/request/responder"

	"github.com/stretchr/testify/require"
)

// TestInvalidReplies guards against bytes that HTTP/1.1 does not allow in an answer reaching the
// caller as the reply of a service, or being kept for repeats. The call may have run.
func TestInvalidReplies(t *testing.T) {
	for _, ans := range answerer.Invalid() {
		t.Run(ans.Name, func(t *testing.T) {
			cla := &claimsRecorder{}
			exe := newExecutor(answerer.Serve(t, ans.Text("", "done")), cla)
			rec := callOnce(t.Context(), exe, newKey())
			require.Equal(t, http.StatusBadGateway, rec.Code, rec.Body)
			require.Equal(t, string(invoker.Unknown), rec.Header().Get(responder.RunHeader))
			require.NotContains(t, rec.Body.String(), "done")
			require.Nil(t, cla.outcome.GetBody())
		})
	}
}

// finishedClaims finds a call with the status of its outcome under each key.
type finishedClaims struct {
	claimsStub
	status int32
}

func (cla *finishedClaims) Commit(context.Context, *messenger.ClaimCommit) *messenger.ClaimResult {
	return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_FINISHED, Outcome: &messenger.Outcome{Status: cla.status, Body: []byte("done")}}
}

// TestInvalidOutcome guards against a recorded outcome with a status outside of HTTP, which an
// earlier version took for an answer, reaching the caller.
func TestInvalidOutcome(t *testing.T) {
	for status, want := range map[int32]int{0: 409, 99: 409, 101: 409, 200: 200, 599: 599, 600: 409, 1200: 409} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			rec := callOnce(t.Context(), newExecutor("", &finishedClaims{status: status}), newKey())
			require.Equal(t, want, rec.Code)
			require.Equal(t, want != http.StatusConflict, rec.Body.String() == "done")
			require.Equal(t, string(invoker.Ran), rec.Header().Get(responder.RunHeader))
		})
	}
}
