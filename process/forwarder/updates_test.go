package forwarder

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/follower"
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
					ID: fmt.Sprintf("i-%d", i), Service: "llm", Address: "127.0.0.1:1", Revision: registrar.Revision{Number: uint64(i + 1)}, Leaving: i%3 == 0, Gone: i%3 == 1,
				})
			}
			fwd.handleChanges(fwd.registry.Merge(ends, registrar.Revision{Number: 200}, time.Now()), "peer")
			require.Equal(t, tt.lines, strings.Count(log.String(), "\n"))
			require.Contains(t, log.String(), tt.want)
			fwd.updatesMu.Lock()
			defer fwd.updatesMu.Unlock()
			require.Len(t, fwd.updates, tt.num)
		})
	}
}

// TestPeersOfEarlierBuilds guards against hosts of earlier builds, which know no eras, that take this
// host back to what the store held before it came back from a copy, or that get all records with
// each pull.
func TestPeersOfEarlierBuilds(t *testing.T) {
	fwd := newHost(t, 1, 5, 2*time.Second)
	end := registrar.Endpoint{ID: "e1", Service: "llm", Address: "127.0.0.1:1", Revision: registrar.Revision{Era: 3, Number: 8}, Leaving: true}
	other := registrar.Endpoint{ID: "e2", Service: "llm", Address: "127.0.0.1:2", Revision: registrar.Revision{Era: 3, Number: 5}}
	now := time.Now()
	fwd.applyEndpoints(follower.Endpoints{Complete: true, Revision: registrar.Revision{Era: 3, Number: 9}, Endpoints: []registrar.Endpoint{end, other}}, now)

	pus := fwd.handleEndpointsPull(&messenger.EndpointsPull{HaveRevision: 7}).GetEndpointsPush()
	require.Len(t, pus.GetRecords(), 1)
	require.Equal(t, "e1", pus.GetRecords()[0].GetId())
	zero := uint64(0)
	require.Len(t, fwd.handleEndpointsPull(&messenger.EndpointsPull{HaveRevision: 7, HaveEra: &zero}).GetEndpointsPush().GetRecords(), 2, "a host of this build that slept through the return")

	fwd.handleEndpointsPush(&messenger.EndpointsPush{Records: []*messenger.EndpointRecord{
		{Id: "e1", Service: "llm", Address: "127.0.0.1:1", Revision: 90}, {Id: "e3", Service: "llm", Address: "127.0.0.1:3", Revision: 90},
	}}, now)
	usable := fwd.registry.Usable("llm", now)
	require.Len(t, usable, 1)
	require.Equal(t, "e2", usable[0].ID)
	confirmed := fwd.registry.Confirmed()
	fwd.comparePeerRevision("127.0.0.1:1", registrar.Revision{Number: 90}, now.Add(time.Second))
	require.False(t, fwd.pullingEndpoints.Load())
	fwd.comparePeerRevision("127.0.0.1:1", registrar.Revision{Number: 9}, now.Add(time.Second))
	require.Equal(t, confirmed, fwd.registry.Confirmed())
}

// TestEraChangeIsToldOnce guards against a return of the store from a copy that operators can't see,
// and against one line for each read.
func TestEraChangeIsToldOnce(t *testing.T) {
	fwd := newHost(t, 0, 1, 2*time.Second)
	var log bytes.Buffer
	fwd.Log = zerolog.New(&log)
	apply := func(era, revision uint64, ids ...string) {
		result := follower.Endpoints{Complete: true, Revision: registrar.Revision{Era: era, Number: revision}}
		for _, id := range ids {
			result.Endpoints = append(result.Endpoints, registrar.Endpoint{ID: id, Service: "llm", Address: "127.0.0.1:1", Revision: registrar.Revision{Era: era, Number: 5}})
		}
		fwd.applyEndpoints(result, time.Now())
	}
	apply(1, 20, "a", "b")
	require.NotContains(t, log.String(), "later era")
	apply(2, 9, "a")
	apply(2, 9, "a")
	require.Equal(t, 1, strings.Count(log.String(), "later era"))
	require.Contains(t, log.String(), `"OldEra":1,"OldRevision":20,"Era":2,"Revision":9,"Removed":1`)
}
