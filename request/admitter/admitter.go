// Package admitter decides whether a request is admitted to the host.
package admitter

import (
	"sync"
	"time"

	"hemlockpin/request/placer"
	"hemlockpin/version/parser"
)

// CodeTeamLimit is the code of refusals of requests that exceed their team's rate.
const CodeTeamLimit = "team_limit"

// Limiter enforces the teams' rates. If a request exceeds its team's rate, Take returns
// false and the time after which to try again.
type Limiter interface {
	Take(tea parser.Team, tokens int64, now time.Time) (retryAfter time.Duration, ok bool)
}

// Admitter limits the requests in progress on one host, and enforces the rates of their
// teams.
type Admitter struct {
	// MaxRequests bounds the requests in progress; 0 stands for no bound.
	MaxRequests int
	// Limiter enforces the teams' rates; nil for no limits.
	Limiter Limiter

	mu         sync.Mutex
	inProgress int
}

// Admit admits or refuses a request. The caller of Admit calls release when an admitted
// request has ended; release is idempotent.
func (adm *Admitter) Admit(req placer.Request, tea parser.Team, _ parser.Pool, now time.Time) (release func(), ref *placer.Refuse) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	if adm.MaxRequests > 0 && adm.inProgress >= adm.MaxRequests {
		return nil, &placer.Refuse{Code: "host_full", Message: "the host has too many requests in progress", RetryAfter: time.Second}
	}
	if tokens := req.Need(); adm.Limiter != nil && tokens > 0 {
		if retryAfter, ok := adm.Limiter.Take(tea, tokens, now); !ok {
			return nil, &placer.Refuse{Code: CodeTeamLimit, Message: "the team is over its tokens a second", RetryAfter: retryAfter}
		}
	}
	adm.inProgress++
	return sync.OnceFunc(func() {
		adm.mu.Lock()
		defer adm.mu.Unlock()
		adm.inProgress--
	}), nil
}

// InProgress returns the number of requests in progress.
func (adm *Admitter) InProgress() int {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	return adm.inProgress
}
