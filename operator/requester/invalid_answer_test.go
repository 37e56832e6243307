package requester_test

import (
	"testing"

	"hemlockpin/internal/testkit/answerer"
	"hemlockpin/operator/requester"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

// TestInvalidAnswers guards against bytes that HTTP/1.1 does not allow in an answer being taken
// for the answer of a host: the outcome of a write is then unknown.
func TestInvalidAnswers(t *testing.T) {
	for _, ans := range answerer.Invalid() {
		t.Run(ans.Name, func(t *testing.T) {
			req := &requester.Requester{Hosts: []string{"http://" + answerer.Serve(t, ans.Text("", `{"Revision":7}`))}}
			_, err := req.Tables(t.Context())
			var unr *requester.UnreachableError
			require.ErrorAs(t, err, &unr)
			_, err = req.Put(t.Context(), parser.Tables{}, 8)
			var unknown *requester.UnknownOutcomeError
			require.ErrorAs(t, err, &unknown)
		})
	}
	req := &requester.Requester{Hosts: []string{"http://" + answerer.Serve(t, answerer.Sound.Text("", `{"Revision":7}`))}}
	tab, err := req.Tables(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 7, tab.Revision)
}
