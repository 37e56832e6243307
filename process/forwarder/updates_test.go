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

// TestManyEndpointsChange changes many endpoints at once, as at a host's start or when a
// service is replaced. The host logs one line with counts instead of a line for each,
// and queues all changes for one message.
func TestManyEndpointsChange(t *testing.T) {
	tts := []struct {
		num   int
		lines int
		want  string
	}{
		{1, 1, `"Endpoint":"i-0"`},
		{maxEndpointLines, maxEndpointLines, `"Leaving":true`},
		{124, 1, `"Endpoints":124,"Leaving":42,"Gone":41,"Revision":124`},
	}
	for _, tt := range tts {
		t.Run(fmt.Sprint(tt.num), func(t *testing.T) {
			fwd := newHost(t, 1, 5, 2*time.Second)
			var log bytes.Buffer
			fwd.Log = zerolog.New(&log)
			var ends []registrar.Endpoint
			for i := range tt.num {
				ends = append(ends, registrar.Endpoint{
					ID: fmt.Sprintf("i-%d", i), Service: "llm", Address: "127.0.0.1:1", Revision: uint64(i + 1), Leaving: i%3 == 0, Gone: i%3 == 1,
				})
			}
			fwd.handleChanges(fwd.registry.Merge(ends, 200, time.Now()), "peer")
			require.Equal(t, tt.lines, strings.Count(log.String(), "\n"))
			require.Contains(t, log.String(), tt.want)
			fwd.updatesMu.Lock()
			defer fwd.updatesMu.Unlock()
			require.Len(t, fwd.updates, tt.num)
		})
	}
}
