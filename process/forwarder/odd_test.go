package forwarder

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"hemlockpin/process/follower"
	"hemlockpin/process/registrar"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestOddEntryIsLoggedOnce guards against odd entries that go unnoticed, or that fill the log
// with a line for each read. The other entries must hold.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	fwd := newHost(t, 0, 1, 2*time.Second)
	var out bytes.Buffer
	fwd.Log = zerolog.New(&out)
	lines := func() int { return strings.Count(out.String(), "odd entry in the store") }
	apply := func(odd ...follower.OddEntry) {
		fwd.applyEndpoints(follower.Endpoints{
			Complete: true, Revision: 9, Odd: odd,
			Endpoints: []registrar.Endpoint{{ID: "e", Service: "llm", Address: "10.0.0.1:1", Revision: 1}, {ID: "odd", Revision: 3, Gone: true}},
		}, time.Now())
	}
	first := follower.OddEntry{Name: "odd", Revision: 3, Problem: "the port is out of range"}
	nameless := follower.OddEntry{Problem: "no name"}
	apply(first, nameless)
	apply(first, nameless)
	require.Equal(t, 2, lines())
	require.Contains(t, out.String(), `"level":"warn","What":"endpoints","Name":"odd","Revision":3,"Problem":"the port is out of range"`)
	changed := first
	changed.Revision = 4
	apply(changed, nameless)
	require.Equal(t, 3, lines())
	fwd.applyTables(follower.Tables{Revision: 9, Odd: []follower.OddEntry{first}}, time.Now())
	require.Equal(t, 4, lines())
	require.Len(t, fwd.registry.Usable("llm", time.Now()), 1)
}

// TestOddLogIsBounded lets odd entries change without end.
func TestOddLogIsBounded(t *testing.T) {
	var log oddLog
	for i := range 3 * maxOddKeys {
		require.True(t, log.add(oddKey{name: strings.Repeat("x", i%7), problem: time.Unix(int64(i), 0).String()}, uint64(i)))
		require.LessOrEqual(t, len(log.revisions), maxOddKeys)
	}
}
