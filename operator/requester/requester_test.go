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

func answering(status int, body string) http.HandlerFunc {
	return func(wri http.ResponseWriter, _ *http.Request) {
		wri.WriteHeader(status)
		_, _ = wri.Write([]byte(body))
	}
}

func aborting(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func serve(t *testing.T, han http.HandlerFunc) string {
	t.Helper()
	ser := httptest.NewServer(han)
	t.Cleanup(ser.Close)
	return ser.URL
}

func nobody(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	return "http://" + lis.Addr().String()
}

func TestPutError(t *testing.T) {
	tt := []struct {
		name string
		host string
		want any
	}{
		{"rejected", serve(t, answering(422, `{"Code":"rejected","Faults":["one","two"]}`)), new(*requester.RejectedError)},
		{"raced", serve(t, answering(412, `{"Code":"raced","Current":{"Revision":9}}`)), new(*requester.ConflictError)},
		{"unknown", serve(t, answering(504, `{"Code":"unknown","Message":"store is silent"}`)), new(*requester.UnknownOutcomeError)},
		{"answer lost", serve(t, aborting), new(*requester.UnknownOutcomeError)},
		{"answer garbled", serve(t, answering(200, `{"Revision":`)), new(*requester.UnknownOutcomeError)},
		{"refused", serve(t, answering(503, `{"Code":"not_accepted"}`)), new(*requester.StatusError)},
		{"not sent", nobody(t), new(*requester.UnreachableError)},
	}
	for _, tc := range tt {
		t.Run(tc.name, func(t *testing.T) {
			// The second host would accept: a change must not be sent to it.
			req := &requester.Requester{Hosts: []string{tc.host, serve(t, answering(200, `{"Revision":1}`))}}
			_, err := req.Put(t.Context(), parser.Tables{}, 8)
			require.Error(t, err)
			require.True(t, errors.As(err, tc.want), "%T: %v", err, err)
		})
	}
}

func TestReadGoesOn(t *testing.T) {
	req := &requester.Requester{Hosts: []string{nobody(t), serve(t, aborting), serve(t, answering(200, `{"Revision":7}`))}}
	tab, err := req.Tables(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(7), tab.Revision)
}

func TestReadEnds(t *testing.T) {
	req := &requester.Requester{Hosts: []string{nobody(t), serve(t, aborting)}}
	_, err := req.Tables(t.Context())
	var unr *requester.UnreachableError
	require.ErrorAs(t, err, &unr)
	require.Len(t, unr.Causes, 2)
}
