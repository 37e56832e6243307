package invoker

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReplyTooLarge guards against the beginning of a reply that is too large being passed on
// as the whole reply.
func TestReplyTooLarge(t *testing.T) {
	for size, ok := range map[int]bool{maxReplyBytes: true, maxReplyBytes + 1: false} {
		body := strings.Repeat("x", size)
		ser := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) { _, _ = wri.Write([]byte(body)) }))
		defer ser.Close()
		rep, err := (&Invoker{}).Call(t.Context(), ser.Listener.Addr().String(), ServiceCall{Method: http.MethodGet, Path: "/"})
		if ok {
			require.NoError(t, err)
			require.Len(t, rep.Body, size)
			continue
		}
		var invokeErr *Error
		require.ErrorAs(t, err, &invokeErr)
		require.Equal(t, Ran, invokeErr.Execution)
	}
}
