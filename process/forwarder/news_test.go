package forwarder

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"hemlockpin/process/registrar"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestManyEndpointsChange has a host learn of many endpoints at once, as at its start
// or when a service is replaced: it logs one line with counts, and passes all on in one
// message.
func TestManyEndpointsChange(t *testing.T) {
	tts := []struct {
		num   int
		lines int
		want  string
	}{
		{1, 1, `"Endpoint":"i-0"`},
		{notedEndpoints, notedEndpoints, `"Leaving":true`},
		{124, 1, `"Endpoints":124,"Leaving":42,"Gone":41,"Revision":124`},
	}
	for _, tt := range tts {
		t.Run(fmt.Sprint(tt.num), func(t *testing.T) {
			fwd := newHost(t, 1, 5, 2*time.Second)
			var log bytes.Buffer
			fwd.Log = zerolog.New(&log)
			var ends []registrar.Endpoint
			for ind := range tt.num {
				ends = append(ends, registrar.Endpoint{
					ID: fmt.Sprintf("i-%d", ind), Service: "llm", Address: "127.0.0.1:1", Revision: uint64(ind + 1), Leaving: ind%3 == 0, Gone: ind%3 == 1,
				})
			}
			fwd.learned(fwd.registry.Merge(ends, 200, time.Now()), "peer")
			require.Equal(t, tt.lines, strings.Count(log.String(), "\n"))
			require.Contains(t, log.String(), tt.want)
			fwd.newsMu.Lock()
			defer fwd.newsMu.Unlock()
			require.Len(t, fwd.news, tt.num)
		})
	}
}
