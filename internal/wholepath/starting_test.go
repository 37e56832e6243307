package wholepath_test

import (
	"net/http"
	"testing"

	"hemlockpin/internal/testkit"
	"hemlockpin/request/responder"

	"github.com/openai/openai-go/v3"
	"github.com/stretchr/testify/require"
)

// A host that has no tables yet refuses as not run, not as an unknown key.
func TestHostWithoutTables(t *testing.T) {
	bin, err := testkit.Build()
	require.NoError(t, err)
	fle, err := testkit.Start(t.Context(), testkit.Plan{Bin: bin, Hosts: 1, Model: testkit.Model})
	require.NoError(t, err)
	t.Cleanup(fle.Stop)
	cli := client(fle.Hosts[0], testkit.Key)
	_, err = cli.Chat.Completions.New(t.Context(), params("Hum", 5))
	var ape *openai.Error
	require.ErrorAs(t, err, &ape)
	require.Equal(t, http.StatusServiceUnavailable, ape.StatusCode)
	require.Equal(t, "host_starting", ape.Code)
	require.Equal(t, "NotRun", ape.Response.Header.Get(responder.RunHeader))
}
