package requester_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"hemlockpin/operator/requester"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

func respondWith(status int, body string) http.HandlerFunc {
	return func(wri http.ResponseWriter, _ *http.Request) {
		wri.WriteHeader(status)
		_, _ = wri.Write([]byte(body))
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func serve(t *testing.T, han http.HandlerFunc) string {
	t.Helper()
	ser := httptest.NewServer(han)
	t.Cleanup(ser.Close)
	return ser.URL
}

// closedPortURL returns a URL at which no server listens.
func closedPortURL(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	return "http://" + lis.Addr().String()
}

// TestPutError checks that a failed Put returns the error type that says whether the
// edit may have been accepted, and that Put does not send a failed edit to another host.
func TestPutError(t *testing.T) {
	tt := []struct {
		name string
		host string
		want any
	}{
		{"rejected", serve(t, respondWith(422, `{"Code":"rejected","Faults":["one","two"]}`)), new(*requester.RejectedError)},
		{"raced", serve(t, respondWith(412, `{"Code":"raced","Current":{"Revision":9}}`)), new(*requester.ConflictError)},
		{"unknown", serve(t, respondWith(504, `{"Code":"unknown","Message":"store is silent"}`)), new(*requester.UnknownOutcomeError)},
		{"answer lost", serve(t, abortConnection), new(*requester.UnknownOutcomeError)},
		{"answer garbled", serve(t, respondWith(200, `{"Revision":`)), new(*requester.UnknownOutcomeError)},
		{"refused", serve(t, respondWith(503, `{"Code":"not_accepted"}`)), new(*requester.StatusError)},
		{"not sent", closedPortURL(t), new(*requester.UnreachableError)},
	}
	for _, tc := range tt {
		t.Run(tc.name, func(t *testing.T) {
			// The second host accepts every edit, so that Put succeeds if it sends the
			// edit there.
			req := &requester.Requester{Hosts: []string{tc.host, serve(t, respondWith(200, `{"Revision":1}`))}}
			_, err := req.Put(t.Context(), parser.Tables{}, 8)
			require.Error(t, err)
			require.True(t, errors.As(err, tc.want), "%T: %v", err, err)
		})
	}
}

// TestReadTriesNextHost checks that a read continues with the next host if a host
// cannot be reached or aborts the connection.
func TestReadTriesNextHost(t *testing.T) {
	req := &requester.Requester{Hosts: []string{closedPortURL(t), serve(t, abortConnection), serve(t, respondWith(200, `{"Revision":7}`))}}
	tab, err := req.Tables(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(7), tab.Revision)
}

// TestReadAllHostsFail checks that a read ends with the cause of each host if none
// answers.
func TestReadAllHostsFail(t *testing.T) {
	req := &requester.Requester{Hosts: []string{closedPortURL(t), serve(t, abortConnection)}}
	_, err := req.Tables(t.Context())
	var unr *requester.UnreachableError
	require.ErrorAs(t, err, &unr)
	require.Len(t, unr.Causes, 2)
}
