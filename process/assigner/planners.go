package assigner

import (
	"context"
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
	// maxPlanners bounds the planners that one call tries.
	maxPlanners = 2
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
	notices  map[destination][]*messenger.PlanNotice
}

// suspicion is that of a planner that did not answer.
type suspicion struct {
	until  time.Time
	period time.Duration
}

// host is one that may plan a pool; the address of this host is empty.
type host struct{ id, address string }

type destination struct{ address, pool string }

// candidates returns the hosts that may plan a pool, the first choice first.
func (pla *Planners) candidates(pool string, now time.Time) []host {
	adds := map[string]string{}
	var ids []string
	if !pla.Leaving() {
		adds[pla.Self] = ""
		ids = append(ids, pla.Self)
	}
	pla.mu.Lock()
	for _, per := range pla.Live(now) {
		if now.Before(pla.suspects[per.ID].until) {
			continue
		}
		adds[per.ID] = per.Address
		ids = append(ids, per.ID)
	}
	pla.mu.Unlock()
	var out []host
	for _, id := range scheduler.Candidates(pool, ids) {
		out = append(out, host{id, adds[id]})
		if len(out) == maxPlanners {
			break
		}
	}
	return out
}

// ask tries the planners of the pool in turn.
func (pla *Planners) ask(ctx context.Context, ask relayer.Ask) (planner.Action, host, error) {
	one := planner.Ask{ID: pla.askID(ask), Host: pla.Self, Incarnation: pla.Incarnation, Prompt: promptOf(ask)}
	for _, hos := range pla.candidates(ask.Pool, pla.Clock()) {
		act, err := pla.askHost(ctx, hos, ask.Pool, one)
		if err == nil {
			pla.trust(hos.id)
			return act, hos, nil
		}
		if ctx.Err() != nil {
			pla.notify(hos, ask.Pool, planner.Ended{ID: one.ID})
			return nil, hos, eris.Wrapf(ctx.Err(), "Planners.ask: planner %s", hos.id)
		}
		pla.suspect(hos.id, err)
	}
	return nil, host{}, errNoPlanner
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

// askHost repeats an ask until it is answered, or the host does not reply.
func (pla *Planners) askHost(ctx context.Context, hos host, pool string, ask planner.Ask) (planner.Action, error) {
	hold, grace := firstHold, firstGrace
	for {
		act, err := pla.askOnce(ctx, hos, pool, ask, hold, grace)
		switch {
		case err != nil:
			return nil, err
		case act != nil:
			return act, nil
		case ctx.Err() != nil:
			return nil, eris.Wrapf(ctx.Err(), "Planners.askHost: planner %s", hos.id)
		}
		hold, grace = laterHold, laterGrace
	}
}

func (pla *Planners) askOnce(ctx context.Context, hos host, pool string, ask planner.Ask, hold, grace time.Duration) (planner.Action, error) {
	if hos.address == "" {
		return pla.Runner.Ask(ctx, pool, ask, laterHold), nil
	}
	cal, cancel := context.WithTimeout(context.WithoutCancel(ctx), hold+grace)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	env, err := pla.Caller.Call(cal, hos.address, &messenger.Envelope{Body: &messenger.Envelope_PlanRequest{PlanRequest: request(pool, ask, hold, pla.Clock())}})
	if err != nil {
		return nil, eris.Wrapf(err, "Planners.askOnce: planner %s", hos.id)
	}
	if env.GetPlanReply() == nil {
		return nil, eris.Errorf("Planners.askOnce: planner %s: reply is not a plan", hos.id)
	}
	return actionOf(ask.ID, env.GetPlanReply()), nil
}

func (pla *Planners) suspect(id string, err error) {
	now := pla.Clock()
	pla.mu.Lock()
	defer pla.mu.Unlock()
	if pla.suspects == nil {
		pla.suspects = map[string]suspicion{}
	}
	if now.Before(pla.suspects[id].until) {
		// Another ask has found it out.
		return
	}
	per := min(maxSuspect, max(suspectPeriod, 2*pla.suspects[id].period))
	pla.suspects[id] = suspicion{now.Add(per), per}
	pla.Log.Warn().Str("Peer", id).Err(err).Dur("ForMs", per).Msg("planner does not answer")
}

// trust ends the suspicion of a planner that has answered.
func (pla *Planners) trust(id string) {
	pla.mu.Lock()
	defer pla.mu.Unlock()
	delete(pla.suspects, id)
}

// HandleRequest answers another host's ask.
func (pla *Planners) HandleRequest(ctx context.Context, req *messenger.PlanRequest, now time.Time) *messenger.Envelope {
	act := pla.Runner.Ask(ctx, req.GetPool(), askOf(req, now), time.Duration(req.GetHoldMs())*time.Millisecond)
	return &messenger.Envelope{Body: &messenger.Envelope_PlanReply{PlanReply: replyOf(act)}}
}

// HandleNotices takes notices of grants.
func (pla *Planners) HandleNotices(nots *messenger.PlanNotices) *messenger.Envelope {
	var eves []planner.Event
	for _, not := range nots.GetNotices() {
		eves = append(eves, eventOf(not))
	}
	pla.Runner.Notify(nots.GetPool(), eves...)
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
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
	pla.notices[des] = append(pla.notices[des], noticeOf(eve))
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
	if _, err := pla.Caller.Call(ctx, des.address, env); err != nil {
		pla.Log.Warn().Str("Peer", des.address).Int("Notices", len(nots)).Err(err).Msg("plan notices lost; the planner learns by reports and deadlines")
	}
}
