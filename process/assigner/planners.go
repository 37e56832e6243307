package assigner

import (
	"cmp"
	"context"
	"errors"
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
	// firstHold is how long a planner may hold the first call of an ask, and
	// firstGrace how much later its reply may come. A host that has no reply by
	// then turns to the next planner.
	firstHold  = 80 * time.Millisecond
	firstGrace = 120 * time.Millisecond
	// laterHold and laterGrace are those of an ask that the planner has confirmed.
	laterHold  = time.Second
	laterGrace = 250 * time.Millisecond
	// suspectPeriod is how long a planner that did not answer is not asked. It
	// doubles with each failure in a row up to maxSuspect, since membership takes
	// some seconds to find a silent host dead.
	suspectPeriod = 2 * time.Second
	maxSuspect    = 16 * time.Second
	// missPeriod is the time after a planner's first reply that did not come in time at
	// which the next one makes it suspect. Until then others are asked in its place, and
	// they relay to it: a host with little processor time may be late itself, and each
	// suspicion leads to a second plan.
	missPeriod = 300 * time.Millisecond
	// maxPlanners bounds the planners that one call tries.
	maxPlanners = 2
	// relayHold and relayGrace are those of a request that is relayed. Together they
	// are below firstHold and firstGrace, so that the host that relays can still plan
	// itself.
	relayHold  = 60 * time.Millisecond
	relayGrace = 60 * time.Millisecond
	// eldestHosts of the hosts that are fit to plan share the pools.
	eldestHosts = 4
	// noticeDelay collects notices, so that many travel in one message.
	noticeDelay   = 4 * time.Millisecond
	noticeTimeout = time.Second
)

// Caller sends a message to another host and returns its reply.
type Caller interface {
	Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error)
}

// Planners reaches the hosts that plan pools. All its exported fields are needed.
type Planners struct {
	Self        string
	Incarnation uint64
	// Address is that at which peers call this host.
	Address string
	// CapacityMilli is the host's processor time in thousandths of a core.
	CapacityMilli uint32
	// Live returns the live peers; Leaving whether this host takes no duties.
	Live    func(now time.Time) []gossiper.Peer
	Leaving func() bool
	Caller  Caller
	Runner  *planner.Runner
	Clock   func() time.Time
	Log     zerolog.Logger

	sequence atomic.Uint64

	mu       sync.Mutex
	suspects map[string]suspicion
	held     map[string]*held
	notices  map[destination][]*messenger.PlanNotice
}

// suspicion is that of a planner that did not answer.
type suspicion struct {
	// missed is when its first reply since the last one in time stayed out.
	missed time.Time
	until  time.Time
	period time.Duration
}

// host is one that may plan a pool; the address of this host is empty.
type host struct{ id, address string }

type destination struct{ address, pool string }

// candidates returns the hosts that plan a pool, the first one before those that
// take its place. Of the hosts with the most processor time the ones that have run
// longest are chosen, so that a host that starts again does not take the plan back;
// rendezvous spreads the pools over them.
func (pla *Planners) candidates(pool string, now time.Time) []host {
	eld := pla.eldest(now)
	adds := map[string]string{}
	var ids []string
	for _, can := range eld {
		adds[can.ID] = can.Address
		ids = append(ids, can.ID)
	}
	var out []host
	for _, id := range scheduler.Candidates(pool, ids) {
		out = append(out, host{id, adds[id]})
		if len(out) == maxPlanners {
			break
		}
	}
	return out
}

// eldest returns the hosts among which the planners are chosen.
func (pla *Planners) eldest(now time.Time) []gossiper.Peer {
	var out []gossiper.Peer
	if !pla.Leaving() {
		out = append(out, gossiper.Peer{ID: pla.Self, Started: pla.Incarnation, CapacityMilli: pla.CapacityMilli})
	}
	pla.mu.Lock()
	for _, per := range pla.Live(now) {
		if !now.Before(pla.suspects[per.ID].until) {
			out = append(out, per)
		}
	}
	pla.mu.Unlock()
	out = gossiper.WithEnoughCapacity(out)
	slices.SortFunc(out, func(one, two gossiper.Peer) int {
		return cmp.Or(cmp.Compare(one.Started, two.Started), cmp.Compare(one.ID, two.ID))
	})
	return out[:min(len(out), eldestHosts)]
}

// ask asks the planner of a pool, or the one that takes its place.
func (pla *Planners) ask(ctx context.Context, ask relayer.Ask) (planner.Action, error) {
	one := planner.Ask{ID: pla.askID(ask), Host: pla.Self, Incarnation: pla.Incarnation, Prompt: promptOf(ask)}
	for _, hos := range pla.candidates(ask.Pool, pla.Clock()) {
		act, by, err := pla.askHost(ctx, hos, ask.Pool, one)
		if err == nil {
			pla.trust(hos.id)
			if ass, ok := act.(planner.Assign); ok {
				pla.keep(ask.Pool, one, ass, by)
			}
			return act, nil
		}
		if ctx.Err() != nil {
			pla.notify(hos, ask.Pool, planner.Ended{ID: one.ID})
			return nil, eris.Wrapf(ctx.Err(), "Planners.ask: planner %s", hos.id)
		}
		pla.suspect(hos.id, err)
		pla.Announce(pla.Clock())
	}
	return nil, errNoPlanner
}

// askID names an ask. A call that is sent again asks anew.
func (pla *Planners) askID(ask relayer.Ask) string {
	return strings.Join([]string{ask.ID, strconv.Itoa(ask.Sends), pla.Self, strconv.FormatUint(pla.sequence.Add(1), 36)}, "/")
}

func promptOf(ask relayer.Ask) planner.Prompt {
	return planner.Prompt{
		Tokens: ask.PromptTokens, MaxTokens: ask.MaxTokens, AnswerTokens: ask.AnswerTokens, Priority: ask.Priority,
		Target: ask.Arrived.Add(ask.Objective), Deadline: ask.Deadline, Objective: ask.Objective, Pause: ask.Pause, Excluded: ask.Excluded,
	}
}

// askHost asks one planner until it has decided. It also returns the planner that
// has planned, which is another one when the host that was asked relays the ask.
func (pla *Planners) askHost(ctx context.Context, hos host, pool string, ask planner.Ask) (planner.Action, host, error) {
	hold, grace := firstHold, firstGrace
	for {
		act, by, err := pla.askOnce(ctx, hos, pool, ask, hold, grace)
		switch {
		case err != nil:
			return nil, hos, err
		case act != nil:
			return act, by, nil
		case ctx.Err() != nil:
			return nil, hos, eris.Wrapf(ctx.Err(), "Planners.askHost: planner %s", hos.id)
		}
		hold, grace = laterHold, laterGrace
	}
}

func (pla *Planners) askOnce(ctx context.Context, hos host, pool string, ask planner.Ask, hold, grace time.Duration) (planner.Action, host, error) {
	if hos.address == "" {
		return pla.Runner.Ask(ctx, pool, ask, laterHold), hos, nil
	}
	rep, err := pla.call(ctx, hos, request(pool, ask, hold, pla.Clock()), hold+grace)
	if err != nil {
		return nil, hos, err
	}
	by := host{rep.GetPlannerId(), rep.GetPlannerAddress()}
	if by.id == pla.Self {
		by.address = ""
	}
	return actionOf(ask.ID, rep), by, nil
}

// call sends a request for a plan to another host.
func (pla *Planners) call(ctx context.Context, hos host, req *messenger.PlanRequest, limit time.Duration) (*messenger.PlanReply, error) {
	cal, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	env, err := pla.Caller.Call(cal, hos.address, &messenger.Envelope{Body: &messenger.Envelope_PlanRequest{PlanRequest: req}})
	if err != nil {
		return nil, eris.Wrapf(err, "Planners.call: planner %s", hos.id)
	}
	if env.GetPlanReply() == nil {
		return nil, eris.Errorf("Planners.call: planner %s: reply is not a plan", hos.id)
	}
	return env.GetPlanReply(), nil
}

func (pla *Planners) suspect(id string, err error) {
	now := pla.Clock()
	pla.mu.Lock()
	defer pla.mu.Unlock()
	if pla.suspects == nil {
		pla.suspects = map[string]suspicion{}
	}
	old := pla.suspects[id]
	if now.Before(old.until) {
		// Another ask has found it out.
		return
	}
	if old.missed.IsZero() {
		old.missed = now
	}
	if errors.Is(err, context.DeadlineExceeded) && now.Sub(old.missed) < missPeriod {
		pla.suspects[id] = old
		return
	}
	per := min(maxSuspect, max(suspectPeriod, 2*old.period))
	pla.suspects[id] = suspicion{missed: old.missed, until: now.Add(per), period: per}
	pla.Log.Warn().Str("Peer", id).Err(err).Dur("ForMs", per).Msg("planner does not answer")
}

// trust ends the suspicion of a planner that has answered.
func (pla *Planners) trust(id string) {
	pla.mu.Lock()
	defer pla.mu.Unlock()
	delete(pla.suspects, id)
}

// HandleRequest plans for another host. A host that is not the planner in its own
// view relays the request to the one that is, so that hosts which see the planner
// differently still use one account.
func (pla *Planners) HandleRequest(ctx context.Context, req *messenger.PlanRequest, now time.Time) *messenger.Envelope {
	if !req.GetRelayed() {
		if rep := pla.relay(ctx, req, now); rep != nil {
			return &messenger.Envelope{Body: &messenger.Envelope_PlanReply{PlanReply: rep}}
		}
	}
	act := pla.Runner.Ask(ctx, req.GetPool(), askOf(req, now), time.Duration(req.GetHoldMs())*time.Millisecond)
	rep := replyOf(act)
	rep.PlannerId, rep.PlannerAddress = pla.Self, pla.Address
	return &messenger.Envelope{Body: &messenger.Envelope_PlanReply{PlanReply: rep}}
}

// relay passes a request on to the planner; nil if this host is the planner, or if
// the planner does not answer.
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

// HandleNotices takes notices, or passes them on to the planner that they are for.
func (pla *Planners) HandleNotices(nots *messenger.PlanNotices) *messenger.Envelope {
	if add := nots.GetFor(); add != "" && add != pla.Address {
		go pla.deliver(add, nots)
	} else {
		now := pla.Clock()
		for _, not := range nots.GetNotices() {
			pla.Runner.Notify(nots.GetPool(), eventOf(not, now))
		}
	}
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

// deliver passes the notices of a host that can't reach a planner on to it. They take
// no second detour: two hosts would send them to each other for as long as the planner
// is gone.
func (pla *Planners) deliver(address string, nots *messenger.PlanNotices) {
	ctx, stop := context.WithTimeout(context.Background(), noticeTimeout)
	defer stop()
	if _, err := pla.Caller.Call(ctx, address, &messenger.Envelope{Body: &messenger.Envelope_PlanNotices{PlanNotices: nots}}); err != nil {
		pla.Log.Warn().Str("Peer", address).Int("Notices", len(nots.GetNotices())).Err(err).Msg("plan notices lost; the planner learns by reports and deadlines")
	}
}

// notify tells the planner of a pool what became of a grant: at once on this
// host, and with others after a short delay on another.
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
	pla.notices[des] = append(pla.notices[des], noticeOf(eve, pla.Clock()))
	if len(pla.notices[des]) == 1 {
		time.AfterFunc(noticeDelay, func() { pla.flush(des) })
	}
}

func (pla *Planners) flush(des destination) {
	pla.mu.Lock()
	nots := pla.notices[des]
	delete(pla.notices, des)
	pla.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), noticeTimeout)
	defer stop()
	env := &messenger.Envelope{Body: &messenger.Envelope_PlanNotices{PlanNotices: &messenger.PlanNotices{Pool: des.pool, Notices: nots}}}
	_, err := pla.Caller.Call(ctx, des.address, env)
	if err == nil {
		return
	}
	pla.Log.Warn().Str("Peer", des.address).Int("Notices", len(nots)).Err(err).Msg("plan notices not delivered; sending them through another host")
	pla.detour(des, nots)
}

// detour sends notices through another candidate to a planner that this host can't
// reach.
func (pla *Planners) detour(des destination, nots []*messenger.PlanNotice) {
	for _, via := range pla.candidates(des.pool, pla.Clock()) {
		if via.address == "" || via.address == des.address {
			continue
		}
		ctx, stop := context.WithTimeout(context.Background(), noticeTimeout)
		defer stop()
		env := &messenger.Envelope{Body: &messenger.Envelope_PlanNotices{PlanNotices: &messenger.PlanNotices{Pool: des.pool, Notices: nots, For: des.address}}}
		if _, err := pla.Caller.Call(ctx, via.address, env); err != nil {
			pla.Log.Warn().Str("Peer", via.id).Int("Notices", len(nots)).Err(err).Msg("plan notices lost; the planner learns by reports and deadlines")
		}
		return
	}
}
