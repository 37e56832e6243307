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
	// noticeInterval is the interval at which notices are sent, so that one
	// message carries many of them.
	noticeInterval = 10 * time.Millisecond
	noticeTimeout  = time.Second
	// repeatPause is the pause between two calls of a request.
	repeatPause = time.Millisecond
	// maxNotices bounds the notices that wait to be sent to one host. Further
	// notices are dropped; the scheduler then ends the grants by the engines' load
	// reports or by their expiry.
	maxNotices = 4096
)

// submitToHost repeats a request to a host until the host grants or refuses it, or
// does not answer in time. extra lengthens the grace within which the host must answer
// each call.
func (cel *Cells) submitToHost(ctx context.Context, hos host, cell, pool string, req scheduler.Request, extra time.Duration) (scheduler.Action, error) {
	if hos.id == cel.Self {
		return cel.submitToSelf(ctx, cell, pool, req)
	}
	hold, grace := firstHold, callGrace+extra
	for {
		gra, err := cel.callScheduler(ctx, hos, cell, pool, req, hold, grace)
		if err != nil {
			return nil, err
		}
		act := decodeAction(req.ID, gra)
		cel.recordDigest(cell, messenger.Millis(gra.GetWaitMs()), act, time.Now())
		if act != nil {
			return act, nil
		}
		if !pause(ctx, repeatPause) {
			return nil, eris.Wrapf(ctx.Err(), "Cells.submitToHost: scheduler %s", hos.id)
		}
		hold, grace = laterHold, laterGrace+extra
	}
}

func (cel *Cells) submitToSelf(ctx context.Context, cell, pool string, req scheduler.Request) (scheduler.Action, error) {
	for {
		act, wait := cel.Scheduler.Submit(ctx, cell, pool, req, laterHold)
		cel.recordDigest(cell, wait, act, time.Now())
		if ctx.Err() != nil {
			return nil, eris.Wrap(ctx.Err(), "Cells.submitToSelf")
		}
		if act != nil {
			return act, nil
		}
	}
}

// pause waits between two calls, so that a scheduler that does not hold calls is not
// called in a busy loop. It reports whether ctx is still active.
func pause(ctx context.Context, period time.Duration) bool {
	select {
	case <-time.After(period):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// callScheduler makes one call. If ctx ends for any reason, its own deadline included,
// callScheduler cancels the call. The call times out only if the host does not answer
// within hold+grace. The difference matters because a time-out marks the session as
// unusable.
func (cel *Cells) callScheduler(ctx context.Context, hos host, cell, pool string, cellReq scheduler.Request, hold, grace time.Duration) (*messenger.Grant, error) {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), hold+grace)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	req := cellReq.Request
	env, err := cel.Peers.Call(callCtx, hos.address, &messenger.Envelope{Body: &messenger.Envelope_GrantRequest{GrantRequest: &messenger.GrantRequest{
		RequestId: req.ID, Host: cellReq.Host, Incarnation: cellReq.Incarnation, Pool: pool, Team: req.Team, Model: req.Model,
		PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens, Priority: int32(req.Priority),
		BudgetMs: time.Until(req.Deadline).Milliseconds(), PrefixHashes: req.Prefix, Excluded: req.Excluded,
		Cell: cell, AskId: cellReq.ID, Share: req.Share, HoldMs: hold.Milliseconds(),
	}}})
	if err != nil {
		return nil, eris.Wrapf(err, "Cells.callScheduler: scheduler %s", hos.id)
	}
	if env.GetGrant() == nil {
		return nil, eris.Errorf("Cells.callScheduler: scheduler %s: reply is not a grant", hos.id)
	}
	return env.GetGrant(), nil
}

// HandleRequest answers another host's request for a grant or for a move.
func (cel *Cells) HandleRequest(ctx context.Context, req *messenger.GrantRequest, now time.Time) *messenger.Envelope {
	if req.GetMove() {
		gra := encodeMove(cel.Scheduler.Move(req.GetCell(), req.GetAskId()))
		return &messenger.Envelope{Body: &messenger.Envelope_Grant{Grant: gra}}
	}
	cellReq := scheduler.Request{ID: req.GetAskId(), Host: req.GetHost(), Incarnation: req.GetIncarnation(), Request: placer.Request{
		ID: req.GetRequestId(), Team: req.GetTeam(), Share: req.GetShare(), Model: req.GetModel(), Pool: req.GetPool(),
		PromptTokens: req.GetPromptTokens(), MaxTokens: req.GetMaxTokens(), Priority: int(req.GetPriority()),
		Deadline: now.Add(messenger.Millis(req.GetBudgetMs())), Prefix: req.GetPrefixHashes(), Excluded: req.GetExcluded(),
	}}
	act, wait := cel.Scheduler.Submit(ctx, req.GetCell(), req.GetPool(), cellReq, messenger.Millis(req.GetHoldMs()))
	cel.recordDigest(req.GetCell(), wait, act, now)
	gra := encodeAction(act)
	gra.WaitMs = wait.Milliseconds()
	return &messenger.Envelope{Body: &messenger.Envelope_Grant{Grant: gra}}
}

// HandleNotices applies another host's notices about grants.
func (cel *Cells) HandleNotices(notices *messenger.GrantNotices) *messenger.Envelope {
	for _, notice := range notices.GetNotices() {
		cel.applyNotice(notice)
	}
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

func (cel *Cells) applyNotice(notice *messenger.GrantNotice) {
	var eve scheduler.Event
	switch id := notice.GetAskId(); notice.GetKind() {
	case messenger.GrantNotice_KIND_PREFILLED:
		eve = scheduler.Prefilled{ID: id}
	case messenger.GrantNotice_KIND_MOVED:
		eve = scheduler.Moved{ID: id}
	case messenger.GrantNotice_KIND_STAYED:
		eve = scheduler.Stayed{ID: id}
	default:
		eve = scheduler.Release{ID: id}
	}
	cel.Scheduler.Notify(notice.GetCell(), eve)
}

// encodeMove returns a grant without an endpoint if the request stays.
func encodeMove(act scheduler.Action) *messenger.Grant {
	if mov, ok := act.(scheduler.MoveTo); ok {
		return &messenger.Grant{Endpoint: mov.Endpoint, Address: mov.Address}
	}
	return &messenger.Grant{}
}

// encodeAction encodes the reply to a request; nil means that the request still waits.
func encodeAction(act scheduler.Action) *messenger.Grant {
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

// decodeAction returns nil if the request still waits.
func decodeAction(id string, gra *messenger.Grant) scheduler.Action {
	if gra.GetWaiting() {
		return nil
	}
	if gra.GetRefusal() != "" {
		return scheduler.Refuse{ID: id, Refuse: placer.Refuse{
			Code: gra.GetRefusal(), Message: gra.GetMessage(), RetryAfter: messenger.Millis(gra.GetRetryAfterMs()),
		}}
	}
	if len(gra.GetGroup()) == 0 {
		return scheduler.Grant{ID: id, Endpoint: gra.GetEndpoint(), Address: gra.GetAddress()}
	}
	group := scheduler.GrantGroup{ID: id}
	for _, par := range gra.GetGroup() {
		group.Parts = append(group.Parts, placer.Part{Endpoint: par.GetEndpoint(), Address: par.GetAddress(), Tokens: par.GetTokens()})
	}
	return group
}

// notify reports an event of a grant to its scheduler: at once if the scheduler is on
// this host, else with the next message to the scheduler's host.
func (cel *Cells) notify(hos host, cell, grantID string, kind messenger.GrantNotice_Kind) {
	notice := &messenger.GrantNotice{Cell: cell, AskId: grantID, Kind: kind}
	if hos.id == cel.Self {
		cel.applyNotice(notice)
		return
	}
	cel.mu.Lock()
	defer cel.mu.Unlock()
	if cel.notices == nil {
		cel.notices = map[string][]*messenger.GrantNotice{}
	}
	if len(cel.notices[hos.address]) < maxNotices {
		cel.notices[hos.address] = append(cel.notices[hos.address], notice)
	}
}

// Run sends notices until ctx ends.
func (cel *Cells) Run(ctx context.Context) {
	ticker := time.NewTicker(noticeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			cel.flush(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// flush sends the collected notices. Notices that cannot be sent are dropped, as
// described at maxNotices.
func (cel *Cells) flush(ctx context.Context) {
	cel.mu.Lock()
	pending := cel.notices
	cel.notices = nil
	cel.mu.Unlock()
	for address, notices := range pending {
		go func() {
			ctx, stop := context.WithTimeout(ctx, noticeTimeout)
			defer stop()
			env := &messenger.Envelope{Body: &messenger.Envelope_GrantNotices{GrantNotices: &messenger.GrantNotices{Notices: notices}}}
			if _, err := cel.Peers.Call(ctx, address, env); err != nil {
				cel.Scope.Counter("grant_notices_lost").Inc(int64(len(notices)))
			}
		}()
	}
}
