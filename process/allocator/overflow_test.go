package allocator

import (
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/process/overflower"
	"hemlockpin/process/scheduler"
	"hemlockpin/request/executor"
	"hemlockpin/request/placer"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// TestOtherRegion sends a request to a scheduler of another region. If the scheduler
// refuses, its cell must get no requests for some seconds; if it does not answer, its
// region must get none.
func TestOtherRegion(t *testing.T) {
	for _, tt := range []struct {
		name        string
		reply       *messenger.Grant
		endpoint    string
		chosenAgain bool
	}{
		{"granted", &messenger.Grant{Endpoint: "far-engine", Address: "a"}, "far-engine", true},
		{"refused", &messenger.Grant{Refusal: scheduler.CodePoolFull}, "", false},
		{"no live engine", &messenger.Grant{Refusal: scheduler.CodeUnavailable}, "", false},
		{"silent", nil, "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			ents := []persister.Entry{
				{ID: "near-host", Kind: persister.KindHost, Address: "near", Region: "near"},
				{ID: "far-host", Kind: persister.KindHost, Address: "far", Region: "far"},
			}
			cel := &Cells{
				Self: "self", Region: "near", Entries: func() []persister.Entry { return ents },
				Peers: grantReplies{"far": tt.reply, "near": {Endpoint: "near-engine"}}, Scope: tally.NoopScope,
			}
			all := &Allocator{Cells: cel}
			req := placer.Request{ID: "r", Deadline: now.Add(time.Minute)}
			poo := parser.Pool{Name: "p", Overflow: []string{"far"}}
			cel.OtherRegions.Record(overflower.Digest{Region: "near", Pool: "p", Cells: 1, Engines: 4, At: now})
			cel.OtherRegions.Record(overflower.Digest{Region: "far", Pool: "p", Cells: 1, Engines: 4, At: now})
			_, ok := all.chooseOtherRegion(req, parser.Pool{Name: "p"}, now)
			require.False(t, ok, "the pool has no overflow")
			lea, ok := all.placeInOtherRegion(t.Context(), req, poo)
			require.Equal(t, tt.endpoint != "", ok)
			require.Equal(t, tt.endpoint, lea.Endpoint)
			_, ok = all.chooseOtherRegion(req, poo, time.Now())
			require.Equal(t, tt.chosenAgain, ok, "chosen right after the reply")
			_, ok = all.chooseOtherRegion(req, poo, time.Now().Add(4*time.Second))
			require.True(t, ok, "chosen again later")
			if tt.reply == nil {
				require.Equal(t, messenger.GrantNotice_KIND_RELEASED, cel.notices["far"][0].GetKind(), "a grant of the unresponsive scheduler must be released")
			}
		})
	}
}

// TestOverflows checks that a request goes to another region only if another region
// may be able to serve it.
func TestOverflows(t *testing.T) {
	for code, want := range map[string]bool{
		scheduler.CodeOverloaded: true, scheduler.CodePoolFull: true, scheduler.CodeNoEndpoint: true, codeGroupUnavailable: true,
		scheduler.CodeInfeasible: false, scheduler.CodeTooLarge: false,
	} {
		require.Equal(t, want, overflows(&executor.RefusedError{Refuse: placer.Refuse{Code: code}}), code)
	}
	require.True(t, overflows(errNoEngine))
	require.False(t, overflows(errNoScheduler))
	require.False(t, overflows(eris.New("other")))
	require.False(t, overflows(nil))
}
