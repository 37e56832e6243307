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

// An accepted edit survives the platform going down and the host that took it
// dying right after; hosts that start or restart in the outage get it from peers.
func TestEditThenOutage(t *testing.T) {
	fle := start(t, testkit.Plan{Hosts: 4, PlatformArgs: []string{"--list-lag", "200ms"}})
	stop := fle.watchRevisions()
	out, err := fle.Edit(t.Context(), 3, tables(7), 1)
	require.NoError(t, err)
	require.Equal(t, uint64(2), out.Revision)
	fle.platformDown(true)
	fle.Hosts[3].Kill()
	stop()
	fle.waitRevision(2, inForceBound, fle.Hosts[:3]...)

	require.NoError(t, fle.AddHost(t.Context()))
	added := fle.Hosts[4]
	ready := func(hos *testkit.Process) bool {
		return testkit.GetOK(t.Context(), "http://"+hos.Address+"/readyz") == nil
	}
	for _, hos := range []*testkit.Process{added, fle.Hosts[1]} {
		if hos != added {
			hos.Kill()
			require.NoError(t, hos.Start())
		}
		require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return ready(hos) }))
		require.Equal(t, uint64(2), fle.status(hos).TablesRevision, "a host is not ready before it has the newest tables")
	}
	fle.platformDown(false)
	fle.waitRevision(2, inForceBound, fle.Hosts[0], fle.Hosts[1], fle.Hosts[2], added)
	tab, err := fle.Tables(t.Context(), 4)
	require.NoError(t, err)
	require.Equal(t, 7, markOf(tab))
}

// A host that dies between the write of an edit and its push leaves the edit to
// those that watch the store.
func TestEditorDies(t *testing.T) {
	fle := start(t, testkit.Plan{Hosts: 4, PlatformArgs: []string{"--list-lag", "200ms"}})
	var editor int
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool {
		num := 0
		for ind, hos := range fle.Hosts {
			if fle.status(hos).TablesWatched {
				num++
			} else {
				editor = ind
			}
		}
		return num == 2
	}))
	shots := []keeper.OneShot{{Method: http.MethodPut, PathPrefix: "tables/current", Kind: keeper.SlowAnswer, SlowMs: 5000}}
	require.NoError(t, fle.Fault(t.Context(), fle.Platform, keeper.Faults{OneShots: shots}))
	res := make(chan error, 1)
	go func() {
		_, err := fle.Edit(context.Background(), editor, tables(7), 1)
		res <- err
	}()
	left := slices.Delete(slices.Clone(fle.Hosts), editor, editor+1)
	require.NoError(t, testkit.Poll(t.Context(), inForceBound, func() bool {
		var chas []keeper.Change
		err := testkit.GetJSON(t.Context(), "http://"+fle.Platform.Address+"/control/changes/tables/current", &chas)
		return err == nil && len(chas) == 2
	}), "the write has had its effect")
	fle.Hosts[editor].Kill()
	require.Error(t, <-res)
	fle.waitRevision(2, inForceBound, left...)
}

// outcomes are the ends of raced edits, by their marks.
type outcomes struct {
	mu      sync.Mutex
	last    int
	results map[int]string
}

func (out *outcomes) next() int {
	out.mu.Lock()
	defer out.mu.Unlock()
	out.last++
	return out.last
}

func (out *outcomes) end(mark int, err error) {
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

// loseAnswers lets the platform lose some answers of writes until ctx ends.
func (fle *fleet) loseAnswers(ctx context.Context) {
	for num := 0; ctx.Err() == nil; num++ {
		_ = fle.Fault(ctx, fle.Platform, struct{ LoseAnswers int }{1 + num%3})
		time.Sleep(15 * time.Millisecond)
	}
}

// operate makes edits through a host until a number of them was accepted.
func (fle *fleet) operate(host, edits int, out *outcomes) {
	for edits > 0 {
		cur, err := fle.Tables(fle.t.Context(), host)
		if err != nil {
			return
		}
		mark := out.next()
		_, err = fle.Edit(fle.t.Context(), host, tables(mark), cur.Revision)
		out.end(mark, err)
		if err == nil {
			edits--
		}
	}
}

// Operators race over three hosts while the platform loses answers.
func TestRacingOperators(t *testing.T) {
	const operators, edits, firstMark = 6, 5, 100
	fle := start(t, testkit.Plan{Hosts: 3, PlatformArgs: []string{"--list-lag", "200ms"}})
	defer fle.watchRevisions()()
	faults, end := context.WithCancel(t.Context())
	defer end()
	go fle.loseAnswers(faults)
	out := &outcomes{last: firstMark, results: map[int]string{}}
	var gro sync.WaitGroup
	for ope := range operators {
		gro.Go(func() { fle.operate(ope%3, edits, out) })
	}
	gro.Wait()
	end()
	marks := fle.pastMarks()
	t.Logf("%d edits tried, history %v", len(out.results), marks)
	num := map[int]int{}
	for _, mark := range marks {
		num[mark]++
		require.Equal(t, 1, num[mark], "edit %d was accepted twice", mark)
	}
	for mark, res := range out.results {
		switch res {
		case "accepted":
			require.Equal(t, 1, num[mark], "accepted edit %d is not in the history", mark)
		case "nothing changed":
			require.Zero(t, num[mark], "edit %d was said to change nothing", mark)
		}
	}
	require.GreaterOrEqual(t, len(marks), operators*edits)
	fle.waitRevision(uint64(len(marks)), inForceBound, fle.Hosts...)
}

// pastMarks reads the marks of all accepted revisions from the first on.
func (fle *fleet) pastMarks() []int {
	var his struct{ Newest uint64 }
	require.NoError(fle.t, testkit.GetJSON(fle.t.Context(), "http://"+fle.Hosts[0].Operator+"/v1/tables/history", &his))
	var out []int
	for rev := uint64(1); rev <= his.Newest; rev++ {
		var tab parser.Tables
		url := fmt.Sprintf("http://%s/v1/tables/history/%d", fle.Hosts[0].Operator, rev)
		require.NoError(fle.t, testkit.GetJSON(fle.t.Context(), url, &tab))
		require.Equal(fle.t, rev, tab.Revision)
		out = append(out, markOf(tab))
	}
	return out
}

// A host without the platform and its peers keeps its tables and says how old
// they are; the others, which lose each other but not the platform, take an edit;
// it catches up without going back.
func TestHostCutOff(t *testing.T) {
	fle := start(t, testkit.Plan{Hosts: 4, Engines: 1, PlatformArgs: []string{"--list-lag", "200ms"}})
	defer fle.watchRevisions()()
	cut := fle.Hosts[3]
	require.NoError(t, cut.Freeze())
	fle.platforms[3].Cut()
	for _, lin := range fle.peers {
		lin.Cut()
	}
	// The others lose each other as well, and each reads the platform itself.
	_, err := fle.Edit(t.Context(), 0, tables(8), 1)
	require.NoError(t, err)
	fle.waitRevision(2, inForceBound, fle.Hosts[:3]...)
	require.NoError(t, cut.Resume())
	require.NoError(t, testkit.Poll(t.Context(), time.Minute, func() bool { return ageHeader(t, cut) != "" }), "the age is told once it may matter")
	sta := fle.status(cut)
	require.Equal(t, uint64(1), sta.TablesRevision)
	require.GreaterOrEqual(t, sta.TablesAgeMs, int64(30_000))
	for _, lin := range fle.peers {
		require.NoError(t, lin.Restore())
	}
	fle.waitRevision(2, inForceBound, cut)
	require.NoError(t, fle.platforms[3].Restore())
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return ageHeader(t, cut) == "" }))
}

func ageHeader(t *testing.T, hos *testkit.Process) string {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+hos.Address+"/v1/models", http.NoBody)
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

// One-way cuts: the host's calls are lost, or the calls to it are. An edit is in
// force on all hosts all the same, for either side pulls or pushes.
func TestOneWayCuts(t *testing.T) {
	fle := start(t, testkit.Plan{Hosts: 3, PlatformArgs: []string{"--list-lag", "200ms"}})
	defer fle.watchRevisions()()
	rev := uint64(1)
	for _, dir := range []testkit.Direction{testkit.Requests, testkit.Answers} {
		require.NoError(t, fle.peers["host-2"].Block(dir))
		fle.platforms[2].Cut()
		out, err := fle.Edit(t.Context(), 0, tables(20+int(rev)), rev)
		require.NoError(t, err)
		rev = out.Revision
		fle.waitRevision(rev, inForceBound, fle.Hosts...)
		require.NoError(t, fle.peers["host-2"].Unblock(dir))
		require.NoError(t, fle.platforms[2].Restore())
		fle.waitLive(3)
	}
}

// A request keeps the tables with which it began, also when an edit takes its
// route away meanwhile.
func TestRequestKeepsItsTables(t *testing.T) {
	fle := start(t, testkit.Plan{Hosts: 2, Engines: 1, PlatformArgs: []string{"--list-lag", "200ms"}})
	res := make(chan error, 1)
	go func() { res <- ask(context.Background(), fle.Hosts[1].Address, "long", 400) }()
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return fle.status(fle.Hosts[1]).Requests > 0 }))
	tab := testkit.SampleTables()
	tab.Routes = tab.Routes[1:]
	out, err := fle.Edit(t.Context(), 0, tab, 1)
	require.NoError(t, err)
	fle.waitRevision(out.Revision, inForceBound, fle.Hosts...)
	require.Positive(t, fle.status(fle.Hosts[1]).Requests, "the request is in progress still")
	require.Error(t, ask(t.Context(), fle.Hosts[1].Address, "new", 2), "a new request finds no route")
	require.NoError(t, <-res)
}

// The connections between hosts go silent for good while new ones work, and all
// hosts but one are cut off from the platform. An edit is in force in time.
func TestSilentPeerConnections(t *testing.T) {
	fle := start(t, testkit.Plan{Hosts: 4, PlatformArgs: []string{"--list-lag", "200ms"}})
	defer fle.watchRevisions()()
	for ind, lin := range fle.platforms {
		if ind > 0 {
			lin.Cut()
		}
	}
	for _, lin := range fle.peers {
		lin.BlackholeEstablished()
	}
	out, err := fle.Edit(t.Context(), 0, tables(11), 1)
	require.NoError(t, err)
	fle.waitRevision(out.Revision, inForceBound, fle.Hosts...)
	fle.waitLive(4)
}
