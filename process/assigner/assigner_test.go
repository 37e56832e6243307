package assigner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/gossiper"
	"hemlockpin/process/planner"
	"hemlockpin/process/registrar"
	"hemlockpin/request/relayer"
	"hemlockpin/version/parser"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

var pools = map[string]parser.Pool{
	"desk": {Name: "desk", Selector: parser.Selector{Service: "desk"}},
	"llm":  {Name: "llm", Selector: parser.Selector{Service: "llm"}, Batching: &parser.Batching{Slots: 16, MemoryTokens: 300_000, StepMs: 1, Stride: 50, ReadRate: 177_000, PairsMs: 0.184}},
}

func pool(name string) (parser.Pool, bool) {
	poo, ok := pools[name]
	return poo, ok
}

// fleet connects hosts in memory. Dead hosts do not answer.
type fleet struct {
	mu      sync.Mutex
	hosts   map[string]*Planners
	dead    map[string]bool
	leaving map[string]bool
	// refuseDead makes dead hosts refuse connections at once. noticeMessages counts the
	// messages with notices to each host, planRequests the plan requests to each host that
	// were not relayed.
	refuseDead     bool
	noticeMessages map[string]int
	planRequests   map[string]int
	// unreachable are the pairs of hosts, as from>to, between which calls time out.
	unreachable map[string]bool
	// started are the incarnations of hosts that have restarted.
	started map[string]uint64
}

// link is the network as one host sees it.
type link struct {
	*fleet
	from string
}

func (lin link) Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error) {
	if lin.unreachable[lin.from+">"+address] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return lin.fleet.Call(ctx, address, env)
}

func (fle *fleet) Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error) {
	fle.mu.Lock()
	hos, dead := fle.hosts[address], fle.dead[address]
	if req := env.GetPlanRequest(); req != nil && !req.GetRelayed() {
		fle.planRequests[address]++
	}
	if env.GetPlanNotices() != nil {
		fle.noticeMessages[address]++
	}
	fle.mu.Unlock()
	if dead && fle.refuseDead {
		return nil, errors.New("connection refused")
	}
	if dead {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	switch body := env.GetBody().(type) {
	case *messenger.Envelope_PlanRequest:
		return hos.HandleRequest(ctx, body.PlanRequest, time.Now()), nil
	case *messenger.Envelope_PlanNotices:
		return hos.HandleNotices(body.PlanNotices), nil
	}
	return nil, errors.New("unknown message")
}

// requestsTo returns the number of plan requests that were sent to a host.
func (fle *fleet) requestsTo(id string) int {
	fle.mu.Lock()
	defer fle.mu.Unlock()
	return fle.planRequests[id]
}

// idleEngines reports engines without load.
type idleEngines struct{}

func (idleEngines) Load(context.Context, string) (planner.Load, error) {
	return planner.Load{Pace: 1}, nil
}

func newFleet(hosts int) *fleet {
	fle := &fleet{hosts: map[string]*Planners{}, dead: map[string]bool{}, leaving: map[string]bool{}, noticeMessages: map[string]int{}, planRequests: map[string]int{}, unreachable: map[string]bool{}, started: map[string]uint64{}}
	var pers []gossiper.Peer
	for i := range hosts {
		id := fmt.Sprintf("host-%d", i)
		pers = append(pers, gossiper.Peer{ID: id, Address: id, Started: 1})
	}
	for _, per := range pers {
		run := &planner.Runner{
			Loader: idleEngines{},
			Engines: func(parser.Pool, time.Time) []planner.Engine {
				return []planner.Engine{{ID: "e1", Address: "10.0.0.1:1"}, {ID: "e2", Address: "10.0.0.2:1"}, {ID: "e3", Address: "10.0.0.3:1"}}
			},
			Pool: pool, Clock: time.Now, Log: zerolog.Nop(), Scope: tally.NoopScope,
		}
		fle.hosts[per.ID] = &Planners{
			Self: per.ID, Incarnation: 1, Address: per.ID, Leaving: func() bool { return fle.leaving[per.ID] }, Peers: link{fle, per.ID}, Runner: run, Clock: time.Now, Log: zerolog.Nop(),
			Live: func(time.Time) []gossiper.Peer {
				var out []gossiper.Peer
				for _, other := range pers {
					if other.ID != per.ID && !fle.leaving[other.ID] {
						other.Started = max(other.Started, fle.started[other.ID])
						out = append(out, other)
					}
				}
				return out
			},
		}
	}
	return fle
}

// restart replaces the process of a host by one without a plan. Other hosts know its new
// incarnation, as membership tells them.
func (fle *fleet) restart(id string) {
	run := fle.hosts[id].Runner
	fle.started[id] = 2
	fle.hosts[id].Runner = &planner.Runner{Loader: run.Loader, Engines: run.Engines, Pool: run.Pool, Clock: run.Clock, Log: run.Log, Scope: run.Scope}
}

// reserver records reservations, and refuses those at one address.
type reserver struct {
	idleEngines
	mu      sync.Mutex
	held    map[string]int64
	refuses string
}

func (res *reserver) Reserve(_ context.Context, address, id string, tokens int64, _ time.Duration) (bool, error) {
	res.mu.Lock()
	defer res.mu.Unlock()
	if address == res.refuses {
		return false, nil
	}
	res.held[address+"/"+id] = tokens
	return true, nil
}

func (res *reserver) Release(_ context.Context, address, id string) error {
	res.mu.Lock()
	defer res.mu.Unlock()
	delete(res.held, address+"/"+id)
	return nil
}

func (res *reserver) count() int {
	res.mu.Lock()
	defer res.mu.Unlock()
	return len(res.held)
}

func (fle *fleet) assigner(self string, res *reserver) *Assigner {
	ass := &Assigner{Registry: &registrar.Registry{}, Pool: pool, Planners: fle.hosts[self], Reserver: res, DataCenter: "a", Clock: time.Now, Log: zerolog.Nop()}
	var ends []registrar.Endpoint
	for i := range 3 {
		ends = append(ends,
			registrar.Endpoint{ID: fmt.Sprintf("e%d", i+1), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:1", i+1), Revision: registrar.Revision{Number: 1}},
			registrar.Endpoint{ID: fmt.Sprintf("d%d", i+1), Service: "desk", Address: "10.0.1.1:1", DataCenter: string(rune('a' + i)), Revision: registrar.Revision{Number: 1}})
	}
	ass.Registry.MergeComplete(ends, registrar.Revision{Number: 1}, time.Now())
	return ass
}

func placementRequest(id string, tokens int64) relayer.PlacementRequest {
	now := time.Now()
	return relayer.PlacementRequest{ID: id, Pool: "llm", PromptTokens: tokens, MaxTokens: 1000, WaitingSince: now, Objective: 3 * time.Second, PauseObjective: time.Second, Deadline: now.Add(15 * time.Second)}
}

// TestSinglePlanner places calls from several hosts. A single host must plan all calls:
// several plans would grant the same slots twice.
func TestSinglePlanner(t *testing.T) {
	fle := newFleet(4)
	seen := map[string]int{}
	for i := range 48 {
		lea, err := fle.assigner(fmt.Sprintf("host-%d", i%4), &reserver{}).Place(t.Context(), placementRequest(fmt.Sprint(i), 1000))
		require.NoError(t, err)
		seen[lea.Endpoint.ID]++
	}
	require.Equal(t, map[string]int{"e1": 16, "e2": 16, "e3": 16}, seen, "a single plan fills the slots of all engines and no more")
	require.LessOrEqual(t, len(fle.planRequests), 1)
}

// TestPlannerUnresponsive makes the planner unresponsive: the next host must plan within a
// fraction of a second. If that host is unresponsive, too, the call is placed by the local
// view.
func TestPlannerUnresponsive(t *testing.T) {
	fle := newFleet(4)
	first := fle.hosts["host-0"].candidates("llm", time.Now())
	var self string
	for id := range fle.hosts {
		if id != first[0].id && id != first[1].id {
			self = id
		}
	}
	ass := fle.assigner(self, &reserver{})
	fle.dead[first[0].id] = true
	start := time.Now()
	_, err := ass.Place(t.Context(), placementRequest("1", 1000))
	require.NoError(t, err)
	require.Less(t, time.Since(start), time.Second)
	require.Positive(t, fle.requestsTo(first[1].id))
	for id := range fle.hosts {
		fle.dead[id] = true
	}
	lea, err := ass.Place(t.Context(), placementRequest("2", 1000))
	require.NoError(t, err)
	require.Equal(t, "llm", lea.Endpoint.Service)
}

// TestPlannerStaysUnresponsive keeps the planner unresponsive. One missed reply may be due
// to a delay of this host itself. After a second missed reply the planner must get no
// requests for a period that doubles with each further failure and ends with the planner's
// first answer.
func TestPlannerStaysUnresponsive(t *testing.T) {
	fle := newFleet(3)
	first := fle.hosts["host-0"].candidates("llm", time.Now())
	var pla *Planners
	for id, hos := range fle.hosts {
		if id != first[0].id && id != first[1].id {
			pla = hos
		}
	}
	var clockOffset time.Duration
	pla.Clock = func() time.Time { return time.Now().Add(clockOffset) }
	place := func() int {
		before := fle.requestsTo(first[0].id)
		_, err := pla.requestPlan(t.Context(), placementRequest(fmt.Sprint(clockOffset), 1000))
		require.NoError(t, err)
		return fle.requestsTo(first[0].id) - before
	}
	fle.dead[first[0].id] = true
	require.Equal(t, 1, place())
	clockOffset = minMissPeriod
	require.Equal(t, 1, place(), "one missed reply does not make the planner suspect")
	require.Zero(t, place(), "two missed replies make the planner suspect")
	clockOffset += suspectPeriod + time.Second
	require.Equal(t, 1, place(), "the planner gets requests after the period")
	clockOffset += suspectPeriod + time.Second
	require.Zero(t, place(), "the second period is twice as long")
	fle.dead[first[0].id] = false
	clockOffset += 2 * suspectPeriod
	require.Positive(t, place())
	require.Empty(t, pla.suspects)
}

// otherThan returns a host that is none of the candidates.
func (fle *fleet) otherThan(cans []host) string {
	for id := range fle.hosts {
		if !slices.ContainsFunc(cans, func(hos host) bool { return hos.id == id }) {
			return id
		}
	}
	return ""
}

// granted counts the grants in the plan of a host.
func (fle *fleet) granted(id string) int { return fle.hosts[id].Runner.Granted("llm") }

// TestAnnounceToRestartedPlanner restarts a planner, which has an empty plan afterwards. It
// must receive the grants of its earlier process before it decides on further requests.
func TestAnnounceToRestartedPlanner(t *testing.T) {
	fle := newFleet(3)
	cans := fle.hosts["host-0"].candidates("llm", time.Now())
	self, planner := fle.otherThan(cans), cans[0].id
	ass := fle.assigner(self, &reserver{})
	_, err := ass.Place(t.Context(), placementRequest("1", 140_000))
	require.NoError(t, err)
	require.Equal(t, 1, fle.granted(planner))
	fle.restart(planner)
	require.Zero(t, fle.granted(planner))
	_, err = ass.Place(t.Context(), placementRequest("2", 140_000))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return fle.granted(planner) == 2 }, time.Second, 5*time.Millisecond)
}

// TestRestartEndsSuspicion has the only other host refuse a connection and restart. It
// must be a planner again as soon as membership knows its new process, also while the
// suspicion of the old one lasts.
func TestRestartEndsSuspicion(t *testing.T) {
	fle := newFleet(2)
	pla := fle.hosts["host-0"]
	now := time.Now()
	require.Len(t, pla.candidates("llm", now), 2)
	pla.suspect("host-1", errors.New("connection refused"))
	require.Len(t, pla.candidates("llm", now), 1)
	fle.started["host-1"] = 2
	require.Len(t, pla.candidates("llm", now), 2)
	pla.suspect("host-1", errors.New("connection refused"))
	require.Len(t, pla.candidates("llm", now), 1, "the new process may become suspect, too")
	require.Equal(t, suspectPeriod, pla.suspects["host-1"].period)
}

// TestRelay makes the planner unreachable from one host: the second candidate must relay
// the request and the end of the grant, so that one plan holds all grants.
func TestRelay(t *testing.T) {
	fle := newFleet(3)
	cans := fle.hosts["host-0"].candidates("llm", time.Now())
	self := fle.otherThan(cans)
	fle.unreachable[self+">"+cans[0].id] = true
	ass := fle.assigner(self, &reserver{})
	lea, err := ass.Place(t.Context(), placementRequest("1", 1000))
	require.NoError(t, err)
	require.Equal(t, 1, fle.granted(cans[0].id))
	require.Zero(t, fle.granted(cans[1].id), "the relaying host has no plan of its own")
	lea.Release()
	require.Eventually(t, func() bool { return fle.granted(cans[0].id) == 0 }, 3*time.Second, 5*time.Millisecond)
}

// TestNoticesAreReroutedOnce removes the planner for good: notices for the planner must be
// rerouted once only, and not sent back and forth without end between the remaining hosts.
func TestNoticesAreReroutedOnce(t *testing.T) {
	fle := newFleet(3)
	cans := fle.hosts["host-0"].candidates("llm", time.Now())
	self := fle.otherThan(cans)
	lea, err := fle.assigner(self, &reserver{}).Place(t.Context(), placementRequest("1", 1000))
	require.NoError(t, err)
	fle.mu.Lock()
	fle.refuseDead, fle.dead[cans[0].id] = true, true
	fle.mu.Unlock()
	for _, id := range []string{self, cans[1].id} {
		fle.hosts[id].suspect(cans[0].id, errors.New("connection refused"))
	}
	lea.Release()
	time.Sleep(300 * time.Millisecond)
	fle.mu.Lock()
	defer fle.mu.Unlock()
	require.Equal(t, map[string]int{cans[0].id: 2, cans[1].id: 1}, fle.noticeMessages)
}

// TestAnnounce replaces the planner: its successor must receive the grants in progress
// before it plans, and their ends.
func TestAnnounce(t *testing.T) {
	fle := newFleet(3)
	cans := fle.hosts["host-0"].candidates("llm", time.Now())
	self := fle.otherThan(cans)
	ass := fle.assigner(self, &reserver{})
	lea, err := ass.Place(t.Context(), placementRequest("1", 140_000))
	require.NoError(t, err)
	lea.ReportFirstEvent()
	fle.leaving[cans[0].id] = true
	fle.hosts[self].Announce(time.Now())
	require.Eventually(t, func() bool { return fle.granted(cans[1].id) == 1 }, time.Second, 5*time.Millisecond)
	fle.hosts[self].Announce(time.Now())
	lea.Release()
	require.Eventually(t, func() bool { return fle.granted(cans[1].id) == 0 }, time.Second, 5*time.Millisecond)
	require.Empty(t, fle.hosts[self].grants)
}

// TestCandidates checks that hosts with little processor time and hosts that have just
// restarted are not chosen as planners.
func TestCandidates(t *testing.T) {
	pers := []gossiper.Peer{
		{ID: "weak", Address: "weak", Started: 1, CapacityMilli: 134},
		{ID: "old-1", Address: "old-1", Started: 2, CapacityMilli: 800}, {ID: "old-2", Address: "old-2", Started: 3, CapacityMilli: 500},
		{ID: "old-3", Address: "old-3", Started: 4, CapacityMilli: 800}, {ID: "old-4", Address: "old-4", Started: 5, CapacityMilli: 800},
	}
	pla := &Planners{Self: "self", Incarnation: 6, CapacityMilli: 800, Leaving: func() bool { return false }, Clock: time.Now,
		Live: func(time.Time) []gossiper.Peer { return pers }}
	before := pla.candidates("llm", time.Now())
	require.Len(t, before, maxCandidates)
	for i := range pers {
		if pers[i].ID == before[0].id {
			pers[i].Started = 9
		}
	}
	after := pla.candidates("llm", time.Now())
	for _, hos := range append(before, after...) {
		require.NotContains(t, []string{"weak"}, hos.id)
	}
	require.NotContains(t, after, before[0], "it has started again")
}

// TestReserveAllOrNone places a prompt that exceeds the memory of one engine: either all engines
// reserve memory or none keeps a reservation.
func TestReserveAllOrNone(t *testing.T) {
	fle, res := newFleet(1), &reserver{held: map[string]int64{}}
	ass := fle.assigner("host-0", res)
	lea, err := ass.Place(t.Context(), placementRequest("1", 500_000))
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(lea.Helpers), 2)
	require.GreaterOrEqual(t, res.count(), 2)
	lea.Release()
	require.Eventually(t, func() bool { return res.count() == 0 }, 5*time.Second, time.Millisecond)
	res.refuses = "10.0.0.2:1"
	_, err = ass.Place(t.Context(), placementRequest("2", 800_000))
	var ref *relayer.RefusedError
	require.ErrorAs(t, err, &ref)
	require.Zero(t, res.count())
}

// TestPlannerListsLeavingEngine makes the planner grant an engine that is leaving by this
// host's registry: the host must request another grant, and the planner must avoid the
// engine.
func TestPlannerListsLeavingEngine(t *testing.T) {
	for name, end := range map[string]registrar.Endpoint{
		"leaving": {ID: "e1", Service: "llm", Address: "10.0.0.1:1", Revision: registrar.Revision{Number: 2}, Leaving: true},
		"gone":    {ID: "e1", Service: "llm", Address: "10.0.0.1:1", Revision: registrar.Revision{Number: 2}, Gone: true},
	} {
		t.Run(name, func(t *testing.T) {
			ass := newFleet(1).assigner("host-0", &reserver{})
			now := time.Now()
			ass.Registry.Confirm(registrar.Revision{Number: 1}, now)
			ass.Registry.Merge([]registrar.Endpoint{end}, registrar.Revision{Number: 2}, now)
			for i := range 20 {
				lea, err := ass.Place(t.Context(), placementRequest(fmt.Sprint(i), 1000))
				require.NoError(t, err)
				require.NotEqual(t, "e1", lea.Endpoint.ID)
			}
		})
	}
}

// TestLocalView places calls of a plain service. Endpoints with few calls, in this data
// centre, that have not failed must be preferred, and a lease that is ended twice must be
// counted down only once.
func TestLocalView(t *testing.T) {
	ass := newFleet(1).assigner("host-0", &reserver{})
	first, err := ass.Place(t.Context(), relayer.PlacementRequest{Pool: "desk"})
	require.NoError(t, err)
	require.Equal(t, "d1", first.Endpoint.ID, "the local data centre comes first among equals")
	second, err := ass.Place(t.Context(), relayer.PlacementRequest{Pool: "desk"})
	require.NoError(t, err)
	require.NotEqual(t, "d1", second.Endpoint.ID, "endpoints with fewer calls come next")
	first.Release()
	first.Release()
	require.Len(t, ass.activeCalls, 1)
	second.ReportFailure("")
	second.Release()
	for range 20 {
		lea, err := ass.Place(t.Context(), relayer.PlacementRequest{Pool: "desk"})
		require.NoError(t, err)
		require.NotEqual(t, second.Endpoint.ID, lea.Endpoint.ID, "an endpoint that has just failed is avoided")
		lea.Release()
	}
	_, err = ass.Place(t.Context(), relayer.PlacementRequest{Pool: "desk", Excluded: []string{"d1", "d2", "d3"}})
	var ref *relayer.RefusedError
	require.ErrorAs(t, err, &ref)
	require.Positive(t, ref.RetryAfter)
}
