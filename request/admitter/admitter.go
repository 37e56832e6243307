// Package admitter decides whether a request may enter the host.
package admitter

import (
	"sync"
	"time"

	"hemlockpin/request/placer"
	"hemlockpin/version/parser"
)

// CodeTeamLimit refuses a request over its team's rate.
const CodeTeamLimit = "team_limit"

// Limiter holds the teams' rates. It returns the time after which to try again
// when a request is over the rate.
type Limiter interface {
	Take(tea parser.Team, tokens int64, now time.Time) (retry time.Duration, ok bool)
}

// Admitter bounds the requests in progress on one host and holds their teams
// to their rates.
type Admitter struct {
	// MaxRequests bounds the requests in progress; 0 stands for no bound.
	MaxRequests int
	// Limiter holds the teams' rates; nil for none.
	Limiter Limiter

	mu      sync.Mutex
	current int
}

// Admit lets a request in or refuses it. done must be called when it has ended.
func (adm *Admitter) Admit(req placer.Request, tea parser.Team, _ parser.Pool, now time.Time) (done func(), ref *placer.Refuse) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	if adm.MaxRequests > 0 && adm.current >= adm.MaxRequests {
		return nil, &placer.Refuse{Code: "host_full", Message: "the host has too many requests in progress", RetryAfter: time.Second}
	}
	if tok := req.Need(); adm.Limiter != nil && tok > 0 {
		if wai, ok := adm.Limiter.Take(tea, tok, now); !ok {
			return nil, &placer.Refuse{Code: CodeTeamLimit, Message: "the team is over its tokens a second", RetryAfter: wai}
		}
	}
	adm.current++
	return sync.OnceFunc(func() {
		adm.mu.Lock()
		defer adm.mu.Unlock()
		adm.current--
	}), nil
}

// InProgress returns the number of requests in progress.
func (adm *Admitter) InProgress() int {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	return adm.current
}
