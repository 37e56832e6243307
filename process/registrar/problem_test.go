package registrar

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestProblemIsShort guards against log lines of megabytes about an invalid record.
func TestProblemIsShort(t *testing.T) {
	problem := Endpoint{ID: "e", Service: "s", Address: strings.Repeat("x", 1<<20) + ":80"}.Problem()
	require.NotEmpty(t, problem)
	require.Less(t, len(problem), 1<<10)
}
