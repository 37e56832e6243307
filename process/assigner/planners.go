package assigner

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/gossiper"
	"hemlockpin/process/planner"
	"hemlockpin/process/scheduler"
	"hemlockpin/request/relayer"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

const (
	// firstHold is how long a planner may wait for a decision on a new request before it
	// replies that the request still waits. After firstHold plus firstGrace without a reply
	// the host submits the request to the next planner.
	firstHold  = 80 * time.Millisecond
	firstGrace = 120 * time.Millisecond
	// laterHold and laterGrace apply to the repetitions of a request after the planner's
	// first reply.
	laterHold  = time.Second
	laterGrace = 250 * time.Millisecond
	// maxCandidates is the number of hosts to which one request is submitted in turn.
	maxCandidates = 2
	// relayHold and relayGrace apply to a relayed request. Their sum is below that of
	// firstHold and firstGrace, so that the relaying host can still plan itself if the
	// planner does not answer.
	relayHold  = 60 * time.Millisecond
	relayGrace = 60 * time.Millisecond
	// maxPlannerHosts is the number of hosts, among those with enough processor time,
	// that share the planning of the pools.
	maxPlannerHosts = 4
	// noticeBatchTime is the time for which notices are collected, so that many are sent in
	// one message.
	noticeBatchTime = 4 * time.Millisecond
	// noticeTimeout is the time limit for sending notices.
	noticeTimeout = time.Second
)

// PeerClient sends a message to another host and returns its reply.
type PeerClient interface {
	Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error)
}

// Planners requests engines from the planners of pools, and answers such requests of other
// hosts. All its exported fields are required.
type Planners struct {
	Self        string
	Incarnation uint64
	// Address is the address at which peers call this host.
	Address string
	// CapacityMilli is the host's processor time in thousandths of a core.
	CapacityMilli uint32
	// Live returns the live peers; Leaving reports whether this host is draining and must
	// not become a planner.
	Live    func(now time.Time) []gossiper.Peer
	Leaving func() bool
	Peers   PeerClient
	Runner  *planner.Runner
	// DataCenter is the data centre of this host; empty if unknown.
	DataCenter string
	Clock      func() time.Time
	Log        zerolog.Logger

	requestSequence atomic.Uint64

	mu sync.Mutex
	// incarnations are the incarnations of the live peers as of the last choice of a
	// planner.
	incarnations map[string]uint64
	suspects     map[string]suspicion
	grants       map[string]*activeGrant
	notices      map[destination][]*messenger.PlanNotice
	// lastPlanner is the planner that decided on the last request of each pool.
	lastPlanner map[string]host
}

// host is a host that may be the planner of a pool; the address is empty for this host.
// The incarnation distinguishes successive processes of the host, of which each has a plan
// of its own.
type host struct {
	id, address string
	incarnation uint64
}

// destination is a planner's address and a pool, for which notices are collected.
type destination struct{ address, pool string }

// candidates returns the planner of a pool, followed by the hosts that replace the planner
// if it fails. The candidates are chosen among the longest-running hosts with enough
// processor time, so that a planner that restarts does not become the planner again;
// rendezvous hashing distributes the pools over these hosts.
func (pla *Planners) candidates(pool string, now time.Time) []host {
	hosts := pla.longestRunning(now)
	peers := map[string]gossiper.Peer{}
	var ids []string
	for _, per := range hosts {
		peers[per.ID] = per
		ids = append(ids, per.ID)
	}
	var out []host
	for _, id := range scheduler.RankHosts(pool, ids) {
		out = append(out, host{id, peers[id].Address, peers[id].Started})
		if len(out) == maxCandidates {
			break
		}
	}
	return out
}

// longestRunning returns the hosts from which the planners are chosen.
func (pla *Planners) longestRunning(now time.Time) []gossiper.Peer {
	var out []gossiper.Peer
	if !pla.Leaving() {
		out = append(out, gossiper.Peer{ID: pla.Self, Started: pla.Incarnation, CapacityMilli: pla.CapacityMilli})
	}
	pla.mu.Lock()
	for _, per := range pla.Live(now) {
		if !pla.suspects[per.ID].covers(per.Started, now) {
			out = append(out, per)
		}
		pla.recordIncarnation(per)
	}
	pla.mu.Unlock()
	out = gossiper.WithEnoughCapacity(out)
	slices.SortFunc(out, func(a, b gossiper.Peer) int {
		return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(len(out), maxPlannerHosts)]
}

// requestPlan requests engines from the planner of a pool, or from its replacement.
func (pla *Planners) requestPlan(ctx context.Context, req relayer.PlacementRequest) (planner.Action, error) {
	planReq := planner.Request{ID: pla.requestID(req), Host: pla.Self, Incarnation: pla.Incarnation, DataCenter: pla.DataCenter, Bytes: req.Bytes, Prompt: promptOf(req)}
	for _, hos := range pla.candidates(req.Pool, pla.Clock()) {
		act, plannedBy, err := pla.requestFrom(ctx, hos, req.Pool, planReq)
		if err == nil {
			pla.clearSuspicion(hos.id)
			pla.recordPlanner(plannedBy, req.Pool, pla.Clock())
			if ass, ok := act.(planner.Assign); ok {
				pla.addGrant(req.Pool, planReq, ass, plannedBy)
			}
			return act, nil
		}
		if ctx.Err() != nil {
			pla.notify(hos, req.Pool, planner.Ended{ID: planReq.ID})
			return nil, eris.Wrapf(ctx.Err(), "Planners.ask: planner %s", hos.id)
		}
		pla.suspect(hos.id, err)
		pla.Announce(pla.Clock())
	}
	return nil, errNoPlanner
}

// requestID returns a new ID for a plan request. Every send of a call and every further
// attempt to place the call is a separate request to the planner. Its ID begins with that of
// the call, which may be any bytes.
func (pla *Planners) requestID(req relayer.PlacementRequest) string {
	return strings.Join([]string{validText(req.ID), strconv.Itoa(req.Sends), pla.Self, strconv.FormatUint(pla.requestSequence.Add(1), 36)}, "/")
}

func promptOf(req relayer.PlacementRequest) planner.Prompt {
	return planner.Prompt{
		Tokens: req.PromptTokens, MaxTokens: req.MaxTokens, AnswerTokens: req.AnswerTokens, Priority: req.Priority,
		Target: req.WaitingSince.Add(req.Objective), Deadline: req.Deadline, Objective: req.Objective, Pause: req.PauseObjective, Excluded: req.Excluded,
	}
}

// requestFrom repeats a request to one host until the planner grants or refuses the
// request. It also returns the planner, which is another host if hos relayed the request.
func (pla *Planners) requestFrom(ctx context.Context, hos host, pool string, req planner.Request) (planner.Action, host, error) {
	hold, grace := firstHold, firstGrace
	for {
		act, plannedBy, err := pla.requestOnce(ctx, hos, pool, req, hold, grace)
		switch {
		case err != nil:
			return nil, hos, err
		case act != nil:
			return act, plannedBy, nil
		case ctx.Err() != nil:
			return nil, hos, eris.Wrapf(ctx.Err(), "Planners.requestFrom: planner %s", hos.id)
		}
		hold, grace = laterHold, laterGrace
	}
}

// requestOnce submits a request once. The action is nil if the request still waits. hold
// and grace apply to other hosts only.
func (pla *Planners) requestOnce(ctx context.Context, hos host, pool string, req planner.Request, hold, grace time.Duration) (planner.Action, host, error) {
	if hos.address == "" {
		return pla.Runner.Submit(ctx, pool, req, laterHold), hos, nil
	}
	rep, err := pla.call(ctx, hos, requestMessage(pool, req, hold, pla.Clock()), hold+grace)
	if err != nil {
		return nil, hos, err
	}
	return actionOf(req.ID, rep), pla.plannerOf(rep), nil
}

// plannerOf returns the planner that has sent a reply, which another host may have relayed.
func (pla *Planners) plannerOf(rep *messenger.PlanReply) host {
	if rep.GetPlannerId() == pla.Self {
		return host{id: pla.Self, incarnation: pla.Incarnation}
	}
	pla.mu.Lock()
	defer pla.mu.Unlock()
	return host{rep.GetPlannerId(), rep.GetPlannerAddress(), pla.incarnations[rep.GetPlannerId()]}
}

// call sends a plan request to another host.
func (pla *Planners) call(ctx context.Context, hos host, req *messenger.PlanRequest, limit time.Duration) (*messenger.PlanReply, error) {
	// callCtx ends with ctx but lacks the deadline of ctx, so that DeadlineExceeded always
	// means that the host did not reply within limit; see suspect.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	env, err := pla.Peers.Call(callCtx, hos.address, &messenger.Envelope{Body: &messenger.Envelope_PlanRequest{PlanRequest: req}})
	if err != nil {
		return nil, eris.Wrapf(err, "Planners.call: planner %s", hos.id)
	}
	if env.GetPlanReply() == nil {
		return nil, eris.Errorf("Planners.call: planner %s: unexpected reply, want a plan reply", hos.id)
	}
	return env.GetPlanReply(), nil
}

// HandleRequest submits a request of another host. A host that is not the planner in its
// local view relays the request to the planner, so that hosts with different views of the
// planner still share one plan.
func (pla *Planners) HandleRequest(ctx context.Context, req *messenger.PlanRequest, now time.Time) *messenger.Envelope {
	if !req.GetRelayed() {
		if rep := pla.relay(ctx, req, now); rep != nil {
			return &messenger.Envelope{Body: &messenger.Envelope_PlanReply{PlanReply: rep}}
		}
	}
	act := pla.Runner.Submit(ctx, req.GetPool(), requestOf(req, now), min(laterHold, messenger.Millis(req.GetHoldMs())))
	rep := replyMessage(act)
	rep.PlannerId, rep.PlannerAddress = pla.Self, pla.Address
	return &messenger.Envelope{Body: &messenger.Envelope_PlanReply{PlanReply: rep}}
}

// relay sends a request on to the planner. It returns nil if there is no candidate, if the
// planner is this host or the host that sent the request, or if the planner does not
// answer.
func (pla *Planners) relay(ctx context.Context, req *messenger.PlanRequest, now time.Time) *messenger.PlanReply {
	cans := pla.candidates(req.GetPool(), now)
	if len(cans) == 0 || cans[0].id == pla.Self || cans[0].id == req.GetHost() {
		return nil
	}
	out := proto.CloneOf(req)
	out.Relayed = true
	out.HoldMs = min(req.GetHoldMs(), relayHold.Milliseconds())
	rep, err := pla.call(ctx, cans[0], out, time.Duration(out.HoldMs)*time.Millisecond+relayGrace)
	if err != nil {
		pla.suspect(cans[0].id, err)
		return nil
	}
	return rep
}

// HandleNotices applies notices, or forwards them to the planner to which they are
// addressed.
func (pla *Planners) HandleNotices(notices *messenger.PlanNotices) *messenger.Envelope {
	if address := notices.GetFor(); address != "" && address != pla.Address {
		go pla.forwardNotices(address, notices)
	} else {
		now := pla.Clock()
		for _, notice := range notices.GetNotices() {
			pla.Runner.Notify(notices.GetPool(), eventOf(notice, now))
		}
	}
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

// forwardNotices forwards the notices of a host that cannot reach a planner. Undelivered
// notices are not rerouted again: two hosts would send them to each other for as long as
// the planner is unreachable.
func (pla *Planners) forwardNotices(address string, notices *messenger.PlanNotices) {
	ctx, stop := context.WithTimeout(context.Background(), noticeTimeout)
	defer stop()
	if _, err := pla.Peers.Call(ctx, address, &messenger.Envelope{Body: &messenger.Envelope_PlanNotices{PlanNotices: notices}}); err != nil {
		pla.Log.Warn().Str("Peer", address).Int("Notices", len(notices.GetNotices())).Err(err).Msg("plan notices could not be delivered; the planner relies on engine reports and deadlines")
	}
}

// notify reports an event of a grant to a planner: at once if the planner is this host,
// otherwise after noticeBatchTime together with other events.
func (pla *Planners) notify(hos host, pool string, eve planner.Event) {
	if hos.address == "" {
		pla.Runner.Notify(pool, eve)
		return
	}
	des := destination{hos.address, pool}
	pla.mu.Lock()
	defer pla.mu.Unlock()
	if pla.notices == nil {
		pla.notices = map[destination][]*messenger.PlanNotice{}
	}
	pla.notices[des] = append(pla.notices[des], noticeMessage(eve, pla.Clock()))
	if len(pla.notices[des]) == 1 {
		time.AfterFunc(noticeBatchTime, func() { pla.flush(des) })
	}
}

// flush sends the notices that are collected for a planner, and reroutes them if the
// planner cannot be reached.
func (pla *Planners) flush(des destination) {
	pla.mu.Lock()
	notices := pla.notices[des]
	delete(pla.notices, des)
	pla.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), noticeTimeout)
	defer stop()
	env := &messenger.Envelope{Body: &messenger.Envelope_PlanNotices{PlanNotices: &messenger.PlanNotices{Pool: des.pool, Notices: notices}}}
	_, err := pla.Peers.Call(ctx, des.address, env)
	if err == nil {
		return
	}
	pla.Log.Warn().Str("Peer", des.address).Int("Notices", len(notices)).Err(err).Msg("plan notices could not be delivered; sending them through another host")
	pla.reroute(des, notices)
}

// reroute sends notices through another candidate to a planner that this host cannot reach.
func (pla *Planners) reroute(des destination, notices []*messenger.PlanNotice) {
	for _, via := range pla.candidates(des.pool, pla.Clock()) {
		if via.address == "" || via.address == des.address {
			continue
		}
		ctx, stop := context.WithTimeout(context.Background(), noticeTimeout)
		defer stop()
		env := &messenger.Envelope{Body: &messenger.Envelope_PlanNotices{PlanNotices: &messenger.PlanNotices{Pool: des.pool, Notices: notices, For: des.address}}}
		if _, err := pla.Peers.Call(ctx, via.address, env); err != nil {
			pla.Log.Warn().Str("Peer", via.id).Int("Notices", len(notices)).Err(err).Msg("plan notices could not be delivered; the planner relies on engine reports and deadlines")
		}
		return
	}
}
