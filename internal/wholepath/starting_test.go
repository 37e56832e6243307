package wholepath_test

import (
	"net/http"
	"testing"

	"hemlockpin/internal/testkit"
	"hemlockpin/request/responder"

	"github.com/openai/openai-go/v3"
	"github.com/stretchr/testify/require"
)

// A host that has no tables yet must refuse requests with host_starting and as not
// run, not because of an unknown key.
func TestHostWithoutTables(t *testing.T) {
	bin, err := testkit.Build()
	require.NoError(t, err)
	fle, err := testkit.Start(t.Context(), testkit.Plan{Bin: bin, Hosts: 1, Model: testkit.Model})
	require.NoError(t, err)
	t.Cleanup(fle.Stop)
	cli := client(fle.Hosts[0], testkit.Key)
	_, err = cli.Chat.Completions.New(t.Context(), params("Hum", 5))
	var apiErr *openai.Error
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, http.StatusServiceUnavailable, apiErr.StatusCode)
	require.Equal(t, "host_starting", apiErr.Code)
	require.Equal(t, "NotRun", apiErr.Response.Header.Get(responder.RunHeader))
}
