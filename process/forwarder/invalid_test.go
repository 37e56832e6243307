package forwarder

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/configurer"
	"hemlockpin/process/follower"
	"hemlockpin/process/registrar"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestInvalidEntryIsLoggedOnce guards against invalid entries that go unnoticed, or that fill the log
// with a line for each read. The other entries must hold.
func TestInvalidEntryIsLoggedOnce(t *testing.T) {
	fwd := newHost(t, 0, 1, 2*time.Second)
	var out bytes.Buffer
	fwd.Log = zerolog.New(&out)
	lines := func() int { return strings.Count(out.String(), "invalid entry; leaving it out") }
	apply := func(invalid ...follower.InvalidEntry) {
		fwd.applyEndpoints(follower.Endpoints{
			Complete: true, Revision: registrar.Revision{Number: 9}, Invalid: invalid,
			Endpoints: []registrar.Endpoint{{ID: "e", Service: "llm", Address: "10.0.0.1:1", Revision: registrar.Revision{Number: 1}}, {ID: "invalid", Revision: registrar.Revision{Number: 3}, Gone: true}},
		}, time.Now())
	}
	first := follower.InvalidEntry{Name: "invalid", Revision: registrar.Revision{Number: 3}, Problem: "the port is out of range"}
	nameless := follower.InvalidEntry{Problem: "no name"}
	apply(first, nameless)
	apply(first, nameless)
	require.Equal(t, 2, lines())
	require.Contains(t, out.String(), `"level":"warn","What":"endpoints","Name":"invalid","Revision":3,"Problem":"the port is out of range"`)
	changed := first
	changed.Revision.Number = 4
	apply(changed, nameless)
	require.Equal(t, 3, lines())
	fwd.applyTables(follower.Tables{Revision: registrar.Revision{Number: 9}, Invalid: []follower.InvalidEntry{first}}, time.Now())
	require.Equal(t, 4, lines())
	require.Len(t, fwd.registry.Usable("llm", time.Now()), 1)
}

// TestInvalidLogIsBounded lets invalid entries change without end.
func TestInvalidLogIsBounded(t *testing.T) {
	var log invalidLog
	for i := range 3 * maxInvalidKeys {
		require.True(t, log.add(invalidKey{name: strings.Repeat("x", i%7), problem: time.Unix(int64(i), 0).String()}, registrar.Revision{Number: uint64(i)}))
		require.LessOrEqual(t, len(log.revisions), maxInvalidKeys)
	}
}

// TestInvalidRecordsOfPeers guards against invalid records of a peer that are used, that are passed on
// to other peers, or that make the records or the status of the host unsendable. The other
// records of the message must be kept.
func TestInvalidRecordsOfPeers(t *testing.T) {
	valid := func(change func(rec *messenger.EndpointRecord)) *messenger.EndpointRecord {
		rec := &messenger.EndpointRecord{Id: "invalid", Service: "llm", Address: "10.0.0.9:80", DataCenter: "z", Revision: 5, StartedMs: 1_700_000_000_000, Slots: 4}
		change(rec)
		return rec
	}
	large := strings.Repeat("x", 2<<20)
	for name, rec := range map[string]*messenger.EndpointRecord{
		"no address":            valid(func(rec *messenger.EndpointRecord) { rec.Address = "" }),
		"port out of range":     valid(func(rec *messenger.EndpointRecord) { rec.Address = "10.0.0.9:70000" }),
		"port zero":             valid(func(rec *messenger.EndpointRecord) { rec.Address = "10.0.0.9:0" }),
		"line break in the ID":  valid(func(rec *messenger.EndpointRecord) { rec.Id = "x\r\nHost: y" }),
		"no service":            valid(func(rec *messenger.EndpointRecord) { rec.Service = "" }),
		"large ID":              valid(func(rec *messenger.EndpointRecord) { rec.Id = large }),
		"large service":         valid(func(rec *messenger.EndpointRecord) { rec.Service = large }),
		"large data centre":     valid(func(rec *messenger.EndpointRecord) { rec.DataCenter = large }),
		"large ID, gone":        valid(func(rec *messenger.EndpointRecord) { rec.Id, rec.Gone = large, true }),
		"start far ahead":       valid(func(rec *messenger.EndpointRecord) { rec.StartedMs = math.MaxInt64 }),
		"start before any time": valid(func(rec *messenger.EndpointRecord) { rec.StartedMs = math.MinInt64 }),
		"greatest revision":     valid(func(rec *messenger.EndpointRecord) { rec.Revision = math.MaxUint64 }),
		"slots out of range":    valid(func(rec *messenger.EndpointRecord) { rec.Slots = math.MaxUint32 }),
		"empty":                 {},
	} {
		t.Run(name, func(t *testing.T) {
			fwd := newPlannerHost(t)
			var out bytes.Buffer
			fwd.Log = zerolog.New(&out)
			sound := &messenger.EndpointRecord{Id: "e3", Service: "llm", Address: "10.0.0.3:80", Revision: 6}
			for range 2 {
				fwd.handleEndpointsPush(&messenger.EndpointsPush{Records: []*messenger.EndpointRecord{rec, sound}}, time.Now())
			}
			require.Len(t, fwd.registry.Usable("llm", time.Now()), 3)
			require.Less(t, out.Len(), 10_000)
			if rec.GetId() != "" {
				require.Equal(t, 1, strings.Count(out.String(), "invalid entry"))
			}
			var buf bytes.Buffer
			require.NoError(t, messenger.Write(&buf, fwd.handleEndpointsPull(&messenger.EndpointsPull{})))
			require.Less(t, buf.Len(), 10_000, "the invalid record is not passed on")
			res := httptest.NewRecorder()
			fwd.status(res, nil)
			require.True(t, json.Valid(res.Body.Bytes()), "operators can read the status")
		})
	}
}

// TestInvalidRevisionsOfPeers guards against a peer's revision that no host can exceed: the host's
// records would never count as confirmed again.
func TestInvalidRevisionsOfPeers(t *testing.T) {
	fwd := newPlannerHost(t)
	for _, invalid := range []registrar.Revision{{Number: math.MaxUint64}, {Era: math.MaxUint64, Number: 1}} {
		fwd.comparePeerRevision("127.0.0.1:1", invalid, time.Now())
		require.False(t, fwd.pullingEndpoints.Load())
		rev, _ := fwd.registry.Revision()
		require.Equal(t, registrar.Revision{Number: 1}, rev)
	}
	fwd.Settings.EvacuateWithin, fwd.Platform.Evacuations = configurer.OptionalDuration(time.Second), noSource{}
	fwd.registry.MergeEvacuations([]registrar.Evacuation{{DataCenter: "z", Revision: registrar.Revision{Number: 1}}}, time.Now())
	fwd.mergePeerEvacuations(&messenger.EndpointsPush{EvacuationsKnown: true, EvacuationsRevision: 1, EvacuationsEra: math.MaxUint64})
	evas, rev, _ := fwd.registry.Evacuations()
	require.Len(t, evas, 1)
	require.False(t, evas[0].Lifted)
	require.Zero(t, rev)
}
