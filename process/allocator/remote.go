package allocator

import (
	"context"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/scheduler"
	"hemlockpin/request/placer"

	"github.com/rotisserie/eris"
)

const (
	// noticeInterval collects notices, so that many travel in one message.
	noticeInterval = 10 * time.Millisecond
	noticeTimeout  = time.Second
	// repeatPause is the least time between two calls of an ask.
	repeatPause = time.Millisecond
	// maxNotices bounds the notices kept for one host. What is lost beyond is
	// made up for by load reports and by the grants' expiry.
	maxNotices = 4096
)

// askHost repeats an ask until it is granted or refused, or the host does not
// answer. extra is added to the time that it has for that.
func (cel *Cells) askHost(ctx context.Context, hos host, nam, pool string, ask scheduler.Request, extra time.Duration) (scheduler.Action, error) {
	if hos.id == cel.Self {
		return cel.askSelf(ctx, nam, pool, ask)
	}
	hold, grace := firstHold, callGrace+extra
	for {
		gra, err := cel.call(ctx, hos, nam, pool, ask, hold, grace)
		if err != nil {
			return nil, err
		}
		act := actionOf(ask.ID, gra)
		cel.learn(nam, time.Duration(gra.GetWaitMs())*time.Millisecond, act, time.Now())
		if act != nil {
			return act, nil
		}
		if !pause(ctx, repeatPause) {
			return nil, eris.Wrapf(ctx.Err(), "Cells.askHost: scheduler %s", hos.id)
		}
		hold, grace = laterHold, laterGrace+extra
	}
}

func (cel *Cells) askSelf(ctx context.Context, nam, pool string, ask scheduler.Request) (scheduler.Action, error) {
	for {
		act, wai := cel.Scheduler.Submit(ctx, nam, pool, ask, laterHold)
		cel.learn(nam, wai, act, time.Now())
		if ctx.Err() != nil {
			return nil, eris.Wrap(ctx.Err(), "Cells.askSelf")
		}
		if act != nil {
			return act, nil
		}
	}
}

// pause keeps a scheduler that does not hold calls from being asked in a spin.
// It reports whether the request goes on.
func pause(ctx context.Context, dur time.Duration) bool {
	select {
	case <-time.After(dur):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// call places one call. The end of the request cancels it; only a host that
// does not answer in time lets it time out, which condemns the session.
func (cel *Cells) call(ctx context.Context, hos host, nam, pool string, ask scheduler.Request, hold, grace time.Duration) (*messenger.Grant, error) {
	cal, cancel := context.WithTimeout(context.WithoutCancel(ctx), hold+grace)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	req := ask.Request
	env, err := cel.Caller.Call(cal, hos.address, &messenger.Envelope{Body: &messenger.Envelope_GrantRequest{GrantRequest: &messenger.GrantRequest{
		RequestId: req.ID, Host: ask.Host, Incarnation: ask.Incarnation, Pool: pool, Team: req.Team, Model: req.Model,
		PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens, Priority: int32(req.Priority),
		BudgetMs: time.Until(req.Deadline).Milliseconds(), PrefixHashes: req.Prefix, Excluded: req.Excluded,
		Cell: nam, AskId: ask.ID, Share: req.Share, HoldMs: hold.Milliseconds(),
	}}})
	if err != nil {
		return nil, eris.Wrapf(err, "Cells.call: scheduler %s", hos.id)
	}
	if env.GetGrant() == nil {
		return nil, eris.Errorf("Cells.call: scheduler %s: reply is not a grant", hos.id)
	}
	return env.GetGrant(), nil
}

// HandleRequest answers another host's ask as the scheduler of the cell.
func (cel *Cells) HandleRequest(ctx context.Context, req *messenger.GrantRequest, now time.Time) *messenger.Envelope {
	if req.GetMove() {
		gra := moveOf(cel.Scheduler.Move(req.GetCell(), req.GetAskId()))
		return &messenger.Envelope{Body: &messenger.Envelope_Grant{Grant: gra}}
	}
	ask := scheduler.Request{ID: req.GetAskId(), Host: req.GetHost(), Incarnation: req.GetIncarnation(), Request: placer.Request{
		ID: req.GetRequestId(), Team: req.GetTeam(), Share: req.GetShare(), Model: req.GetModel(), Pool: req.GetPool(),
		PromptTokens: req.GetPromptTokens(), MaxTokens: req.GetMaxTokens(), Priority: int(req.GetPriority()),
		Deadline: now.Add(time.Duration(req.GetBudgetMs()) * time.Millisecond), Prefix: req.GetPrefixHashes(), Excluded: req.GetExcluded(),
	}}
	act, wai := cel.Scheduler.Submit(ctx, req.GetCell(), req.GetPool(), ask, time.Duration(req.GetHoldMs())*time.Millisecond)
	cel.learn(req.GetCell(), wai, act, now)
	gra := grantOf(act)
	gra.WaitMs = wai.Milliseconds()
	return &messenger.Envelope{Body: &messenger.Envelope_Grant{Grant: gra}}
}

// HandleNotices takes notices of grants.
func (cel *Cells) HandleNotices(nos *messenger.GrantNotices) *messenger.Envelope {
	for _, not := range nos.GetNotices() {
		cel.apply(not)
	}
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

func (cel *Cells) apply(not *messenger.GrantNotice) {
	var eve scheduler.Event
	switch id := not.GetAskId(); not.GetKind() {
	case messenger.GrantNotice_KIND_PREFILLED:
		eve = scheduler.Prefilled{ID: id}
	case messenger.GrantNotice_KIND_MOVED:
		eve = scheduler.Moved{ID: id}
	case messenger.GrantNotice_KIND_STAYED:
		eve = scheduler.Stayed{ID: id}
	default:
		eve = scheduler.Release{ID: id}
	}
	cel.Scheduler.Notify(not.GetCell(), eve)
}

// moveOf has no endpoint where the request stays.
func moveOf(act scheduler.Action) *messenger.Grant {
	if mov, ok := act.(scheduler.MoveTo); ok {
		return &messenger.Grant{Endpoint: mov.Endpoint, Address: mov.Address}
	}
	return &messenger.Grant{}
}

func grantOf(act scheduler.Action) *messenger.Grant {
	switch act := act.(type) {
	case scheduler.Grant:
		return &messenger.Grant{Endpoint: act.Endpoint, Address: act.Address}
	case scheduler.GrantGroup:
		gra := &messenger.Grant{}
		for _, par := range act.Parts {
			gra.Group = append(gra.Group, &messenger.GroupPart{Endpoint: par.Endpoint, Address: par.Address, Tokens: par.Tokens})
		}
		return gra
	case scheduler.Refuse:
		return &messenger.Grant{Refusal: act.Code, Message: act.Message, RetryAfterMs: act.RetryAfter.Milliseconds()}
	default:
		return &messenger.Grant{Waiting: true}
	}
}

// actionOf returns nil for an ask that waits.
func actionOf(id string, gra *messenger.Grant) scheduler.Action {
	if gra.GetWaiting() {
		return nil
	}
	if gra.GetRefusal() != "" {
		return scheduler.Refuse{ID: id, Refuse: placer.Refuse{
			Code: gra.GetRefusal(), Message: gra.GetMessage(), RetryAfter: time.Duration(gra.GetRetryAfterMs()) * time.Millisecond,
		}}
	}
	if len(gra.GetGroup()) == 0 {
		return scheduler.Grant{ID: id, Endpoint: gra.GetEndpoint(), Address: gra.GetAddress()}
	}
	gro := scheduler.GrantGroup{ID: id}
	for _, par := range gra.GetGroup() {
		gro.Parts = append(gro.Parts, placer.Part{Endpoint: par.GetEndpoint(), Address: par.GetAddress(), Tokens: par.GetTokens()})
	}
	return gro
}

// notify tells the scheduler of a grant's step, at once on this host and with
// the next message on another.
func (cel *Cells) notify(hos host, nam, id string, kin messenger.GrantNotice_Kind) {
	not := &messenger.GrantNotice{Cell: nam, AskId: id, Kind: kin}
	if hos.id == cel.Self {
		cel.apply(not)
		return
	}
	cel.mu.Lock()
	defer cel.mu.Unlock()
	if cel.notices == nil {
		cel.notices = map[string][]*messenger.GrantNotice{}
	}
	if len(cel.notices[hos.address]) < maxNotices {
		cel.notices[hos.address] = append(cel.notices[hos.address], not)
	}
}

// Run sends notices until ctx ends.
func (cel *Cells) Run(ctx context.Context) {
	tic := time.NewTicker(noticeInterval)
	defer tic.Stop()
	for {
		select {
		case <-tic.C:
			cel.flush(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (cel *Cells) flush(ctx context.Context) {
	cel.mu.Lock()
	out := cel.notices
	cel.notices = nil
	cel.mu.Unlock()
	for add, nos := range out {
		go func() {
			ctx, stop := context.WithTimeout(ctx, noticeTimeout)
			defer stop()
			env := &messenger.Envelope{Body: &messenger.Envelope_GrantNotices{GrantNotices: &messenger.GrantNotices{Notices: nos}}}
			if _, err := cel.Caller.Call(ctx, add, env); err != nil {
				cel.Scope.Counter("grant_notices_lost").Inc(int64(len(nos)))
			}
		}()
	}
}
