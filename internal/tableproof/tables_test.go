package tableproof_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/request/responder"
	"hemlockpin/standin/keeper"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

// Right after an edit was accepted, the platform goes down and the host that
// accepted the edit is killed. The edit must come into force on the other hosts, and
// hosts that start or restart during the outage must receive it from peers.
func TestEditThenOutage(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 4, PlatformArgs: []string{"--list-lag", "200ms"}})
	stop := fle.watchRevisions()
	out, err := fle.Edit(t.Context(), 3, tablesWithMark(7), 1)
	require.NoError(t, err)
	require.Equal(t, uint64(2), out.Revision)
	fle.platformDown(true)
	fle.Hosts[3].Kill()
	stop()
	fle.waitRevision(2, inForceBound, fle.Hosts[:3]...)

	require.NoError(t, fle.AddHost(t.Context()))
	added := fle.Hosts[4]
	ready := func(host *testkit.Process) bool {
		return testkit.GetOK(t.Context(), "http://"+host.Address+"/readyz") == nil
	}
	for _, host := range []*testkit.Process{added, fle.Hosts[1]} {
		if host != added {
			host.Kill()
			require.NoError(t, host.Start())
		}
		require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return ready(host) }))
		require.Equal(t, uint64(2), fle.status(host).TablesRevision, "a host must not be ready before it has the newest tables")
	}
	fle.platformDown(false)
	fle.waitRevision(2, inForceBound, fle.Hosts[0], fle.Hosts[1], fle.Hosts[2], added)
	tab, err := fle.Tables(t.Context(), 4)
	require.NoError(t, err)
	require.Equal(t, 7, markOf(tab))
}

// A host is killed after it has written an edit and before it has pushed it to its
// peers. The hosts that watch the platform must bring the edit into force.
func TestEditorDies(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 4, PlatformArgs: []string{"--list-lag", "200ms"}})
	var editor int
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool {
		watchers := 0
		for i, host := range fle.Hosts {
			if fle.status(host).TablesWatched {
				watchers++
			} else {
				editor = i
			}
		}
		return watchers == 2
	}))
	shots := []keeper.OneShot{{Method: http.MethodPut, PathPrefix: "tables/current", Kind: keeper.SlowAnswer, SlowMs: 5000}}
	require.NoError(t, fle.Fault(t.Context(), fle.Platform, keeper.Faults{OneShots: shots}))
	res := make(chan error, 1)
	go func() {
		_, err := fle.Edit(context.Background(), editor, tablesWithMark(7), 1)
		res <- err
	}()
	left := slices.Delete(slices.Clone(fle.Hosts), editor, editor+1)
	require.NoError(t, testkit.Poll(t.Context(), inForceBound, func() bool {
		var changes []keeper.Change
		err := testkit.GetJSON(t.Context(), "http://"+fle.Platform.Address+"/control/changes/tables/current", &changes)
		return err == nil && len(changes) == 2
	}), "the platform must have stored the edit")
	fle.Hosts[editor].Kill()
	require.Error(t, <-res)
	fle.waitRevision(2, inForceBound, left...)
}

// editResults holds the results of concurrent edits by their marks.
type editResults struct {
	mu      sync.Mutex
	last    int
	results map[int]string
}

func (out *editResults) next() int {
	out.mu.Lock()
	defer out.mu.Unlock()
	out.last++
	return out.last
}

func (out *editResults) record(mark int, err error) {
	out.mu.Lock()
	defer out.mu.Unlock()
	switch {
	case err == nil:
		out.results[mark] = "accepted"
	case strings.Contains(err.Error(), `"raced"`), strings.Contains(err.Error(), `"not_accepted"`):
		out.results[mark] = "nothing changed"
	default:
		out.results[mark] = "unknown"
	}
}

// loseAnswers lets the platform lose the responses to some writes until ctx ends.
func (fle *fleet) loseAnswers(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		_ = fle.Fault(ctx, fle.Platform, struct{ LoseAnswers int }{1 + i%3})
		time.Sleep(15 * time.Millisecond)
	}
}

// runOperator makes edits through a host until the given number of them has been
// accepted.
func (fle *fleet) runOperator(host, edits int, out *editResults) {
	for edits > 0 {
		current, err := fle.Tables(fle.t.Context(), host)
		if err != nil {
			return
		}
		mark := out.next()
		_, err = fle.Edit(fle.t.Context(), host, tablesWithMark(mark), current.Revision)
		out.record(mark, err)
		if err == nil {
			edits--
		}
	}
}

// Operators edit the tables concurrently through three hosts while the platform
// loses responses. Every edit reported as accepted must be in the history once, and
// none that was reported as without effect.
func TestRacingOperators(t *testing.T) {
	const operators, edits, firstMark = 6, 5, 100
	fle := startFleet(t, testkit.Plan{Hosts: 3, PlatformArgs: []string{"--list-lag", "200ms"}})
	defer fle.watchRevisions()()
	faults, end := context.WithCancel(t.Context())
	defer end()
	go fle.loseAnswers(faults)
	out := &editResults{last: firstMark, results: map[int]string{}}
	var wg sync.WaitGroup
	for operator := range operators {
		wg.Go(func() { fle.runOperator(operator%3, edits, out) })
	}
	wg.Wait()
	end()
	marks := fle.pastMarks()
	t.Logf("%d edits attempted, history %v", len(out.results), marks)
	accepted := map[int]int{}
	for _, mark := range marks {
		accepted[mark]++
		require.Equal(t, 1, accepted[mark], "edit %d was accepted twice", mark)
	}
	for mark, res := range out.results {
		switch res {
		case "accepted":
			require.Equal(t, 1, accepted[mark], "accepted edit %d is not in the history", mark)
		case "nothing changed":
			require.Zero(t, accepted[mark], "edit %d was reported as without effect", mark)
		}
	}
	require.GreaterOrEqual(t, len(marks), operators*edits)
	fle.waitRevision(uint64(len(marks)), inForceBound, fle.Hosts...)
}

// pastMarks returns the marks of all revisions in the history, the oldest first.
func (fle *fleet) pastMarks() []int {
	var history struct{ Newest uint64 }
	require.NoError(fle.t, testkit.GetJSON(fle.t.Context(), "http://"+fle.Hosts[0].Operator+"/v1/tables/history", &history))
	var out []int
	for rev := uint64(1); rev <= history.Newest; rev++ {
		var tab parser.Tables
		url := fmt.Sprintf("http://%s/v1/tables/history/%d", fle.Hosts[0].Operator, rev)
		require.NoError(fle.t, testkit.GetJSON(fle.t.Context(), url, &tab))
		require.Equal(fle.t, rev, tab.Revision)
		out = append(out, markOf(tab))
	}
	return out
}

// A host loses its connections to the platform and to all peers. It must keep its
// tables and report their age. The other hosts lose their peers but not the platform
// and must bring an edit into force. When the peers are connected again, the host
// must catch up, and no revision may decrease.
func TestHostCutOff(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 4, Engines: 1, PlatformArgs: []string{"--list-lag", "200ms"}})
	defer fle.watchRevisions()()
	isolated := fle.Hosts[3]
	require.NoError(t, isolated.Freeze())
	fle.platforms[3].Cut()
	for _, lin := range fle.peers {
		lin.Cut()
	}
	// The other hosts have lost their peers too, so each reads the platform.
	_, err := fle.Edit(t.Context(), 0, tablesWithMark(8), 1)
	require.NoError(t, err)
	fle.waitRevision(2, inForceBound, fle.Hosts[:3]...)
	require.NoError(t, isolated.Resume())
	require.NoError(t, testkit.Poll(t.Context(), time.Minute, func() bool { return ageHeader(t, isolated) != "" }), "the age must be reported once the tables may be outdated")
	sta := fle.status(isolated)
	require.Equal(t, uint64(1), sta.TablesRevision)
	require.GreaterOrEqual(t, sta.TablesAgeMs, int64(30_000))
	for _, lin := range fle.peers {
		require.NoError(t, lin.Restore())
	}
	fle.waitRevision(2, inForceBound, isolated)
	require.NoError(t, fle.platforms[3].Restore())
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return ageHeader(t, isolated) == "" }))
}

func ageHeader(t *testing.T, host *testkit.Process) string {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+host.Address+"/v1/models", http.NoBody)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testkit.Key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.Header.Get(responder.AgeHeader)
}

// A host has no platform, and its link for peers loses the data of one direction.
// An edit must still come into force on all hosts, because one side pushes tables
// and the other side pulls them.
func TestOneWayCuts(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 3, PlatformArgs: []string{"--list-lag", "200ms"}})
	defer fle.watchRevisions()()
	rev := uint64(1)
	for _, dir := range []testkit.Direction{testkit.Requests, testkit.Answers} {
		require.NoError(t, fle.peers["host-2"].Block(dir))
		fle.platforms[2].Cut()
		out, err := fle.Edit(t.Context(), 0, tablesWithMark(20+int(rev)), rev)
		require.NoError(t, err)
		rev = out.Revision
		fle.waitRevision(rev, inForceBound, fle.Hosts...)
		require.NoError(t, fle.peers["host-2"].Unblock(dir))
		require.NoError(t, fle.platforms[2].Restore())
		fle.waitAlive(3)
	}
}

// A request uses the tables with which it started until its end, also if an edit
// removes its route meanwhile.
func TestRequestKeepsItsTables(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 2, Engines: 1, PlatformArgs: []string{"--list-lag", "200ms"}})
	res := make(chan error, 1)
	go func() { res <- ask(context.Background(), fle.Hosts[1].Address, "long", 400) }()
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return fle.status(fle.Hosts[1]).Requests > 0 }))
	tab := testkit.SampleTables()
	tab.Routes = tab.Routes[1:]
	out, err := fle.Edit(t.Context(), 0, tab, 1)
	require.NoError(t, err)
	fle.waitRevision(out.Revision, inForceBound, fle.Hosts...)
	require.Positive(t, fle.status(fle.Hosts[1]).Requests, "the request must still be in progress")
	require.Error(t, ask(t.Context(), fle.Hosts[1].Address, "new", 2), "a new request must find no route")
	require.NoError(t, <-res)
}

// The open connections between hosts drop all data while new ones work, and all
// hosts but one are cut off from the platform. An edit must be in force within the
// bound.
func TestPeerConnectionsDropData(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 4, PlatformArgs: []string{"--list-lag", "200ms"}})
	defer fle.watchRevisions()()
	for i, lin := range fle.platforms {
		if i > 0 {
			lin.Cut()
		}
	}
	for _, lin := range fle.peers {
		lin.BlackholeEstablished()
	}
	out, err := fle.Edit(t.Context(), 0, tablesWithMark(11), 1)
	require.NoError(t, err)
	fle.waitRevision(out.Revision, inForceBound, fle.Hosts...)
	fle.waitAlive(4)
}
