package assigner

import (
	"strings"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/planner"
)

// validText returns a text of a caller or of an endpoint as UTF-8, which messages require.
func validText(text string) string { return strings.ToValidUTF8(text, "?") }

func requestMessage(pool string, req planner.Request, hold time.Duration, now time.Time) *messenger.PlanRequest {
	pro := req.Prompt
	return &messenger.PlanRequest{
		Id: req.ID, Host: req.Host, Incarnation: req.Incarnation, Pool: pool, PromptTokens: pro.Tokens, MaxTokens: pro.MaxTokens,
		AnswerTokens: pro.AnswerTokens, Priority: int32(pro.Priority), TargetMs: pro.Target.Sub(now).Milliseconds(), BudgetMs: pro.Deadline.Sub(now).Milliseconds(),
		ObjectiveMs: pro.Objective.Milliseconds(), PauseMs: pro.Pause.Milliseconds(), Excluded: pro.Excluded, HoldMs: hold.Milliseconds(), DataCenter: req.DataCenter, Bytes: req.Bytes,
	}
}

func requestOf(req *messenger.PlanRequest, now time.Time) planner.Request {
	return planner.Request{ID: req.GetId(), Host: req.GetHost(), Incarnation: req.GetIncarnation(), DataCenter: req.GetDataCenter(), Bytes: req.GetBytes(), Prompt: planner.Prompt{
		Tokens: req.GetPromptTokens(), MaxTokens: req.GetMaxTokens(), AnswerTokens: req.GetAnswerTokens(), Priority: int(req.GetPriority()),
		Target: now.Add(messenger.Millis(req.GetTargetMs())), Deadline: now.Add(messenger.Millis(req.GetBudgetMs())),
		Objective: messenger.Millis(req.GetObjectiveMs()), Pause: messenger.Millis(req.GetPauseMs()), Excluded: req.GetExcluded(),
	}}
}

// replyMessage converts an action to a reply. The reply is empty for nil, the action for a
// request that waits.
func replyMessage(act planner.Action) *messenger.PlanReply {
	switch act := act.(type) {
	case planner.Assign:
		rep := &messenger.PlanReply{FirstMs: act.First.Milliseconds()}
		rep.Parts = partMessages(act.Parts)
		return rep
	case planner.Refuse:
		return &messenger.PlanReply{Refusal: act.Code, Message: act.Message, RetryAfterMs: act.RetryAfter.Milliseconds()}
	default:
		return &messenger.PlanReply{}
	}
}

// actionOf converts a reply to an action. The action is nil for an empty reply, which is
// the reply for a request that waits.
func actionOf(id string, rep *messenger.PlanReply) planner.Action {
	if rep.GetRefusal() != "" {
		return planner.Refuse{ID: id, Code: rep.GetRefusal(), Message: rep.GetMessage(), RetryAfter: messenger.Millis(rep.GetRetryAfterMs())}
	}
	if len(rep.GetParts()) == 0 {
		return nil
	}
	return planner.Assign{ID: id, First: messenger.Millis(rep.GetFirstMs()), Parts: partsOf(rep.GetParts())}
}

func partMessages(pars []planner.Part) []*messenger.PlanPart {
	out := make([]*messenger.PlanPart, 0, len(pars))
	for _, par := range pars {
		out = append(out, &messenger.PlanPart{Endpoint: par.Endpoint, Address: par.Address, ReserveTokens: par.Reserve})
	}
	return out
}

func partsOf(pars []*messenger.PlanPart) []planner.Part {
	out := make([]planner.Part, 0, len(pars))
	for _, par := range pars {
		out = append(out, planner.Part{Endpoint: par.GetEndpoint(), Address: par.GetAddress(), Reserve: par.GetReserveTokens()})
	}
	return out
}

func noticeMessage(eve planner.Event, now time.Time) *messenger.PlanNotice {
	switch eve := eve.(type) {
	case planner.Announced:
		return announcedMessage(eve, now)
	case planner.Began:
		return &messenger.PlanNotice{Id: eve.ID, Kind: messenger.PlanNotice_KIND_BEGAN}
	case planner.Failed:
		return &messenger.PlanNotice{Id: eve.ID, Kind: messenger.PlanNotice_KIND_FAILED, Endpoint: validText(eve.Endpoint)}
	case planner.Erred:
		return &messenger.PlanNotice{Kind: messenger.PlanNotice_KIND_ERRED, Endpoint: validText(eve.Endpoint)}
	case planner.Ended:
		return &messenger.PlanNotice{Id: eve.ID, Kind: messenger.PlanNotice_KIND_ENDED}
	default:
		return &messenger.PlanNotice{}
	}
}

func eventOf(notice *messenger.PlanNotice, now time.Time) planner.Event {
	switch notice.GetKind() {
	case messenger.PlanNotice_KIND_HELD:
		return announcedOf(notice, now)
	case messenger.PlanNotice_KIND_BEGAN:
		return planner.Began{ID: notice.GetId()}
	case messenger.PlanNotice_KIND_FAILED:
		return planner.Failed{ID: notice.GetId(), Endpoint: notice.GetEndpoint()}
	case messenger.PlanNotice_KIND_ERRED:
		return planner.Erred{Endpoint: notice.GetEndpoint()}
	default:
		return planner.Ended{ID: notice.GetId()}
	}
}
