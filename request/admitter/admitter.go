// Package admitter decides whether a request may enter the host.
package admitter

import (
	"sync"
	"time"

	"hemlockpin/request/placer"
	"hemlockpin/version/parser"
)

// Admitter bounds the requests in progress on one host.
type Admitter struct {
	// MaxRequests bounds the requests in progress; 0 stands for no bound.
	MaxRequests int

	mu      sync.Mutex
	current int
}

// Admit lets a request in or refuses it. done must be called when it has ended.
func (adm *Admitter) Admit(_ placer.Request, _ parser.Team, _ parser.Pool, _ time.Time) (done func(), ref *placer.Refuse) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	if adm.MaxRequests > 0 && adm.current >= adm.MaxRequests {
		return nil, &placer.Refuse{Code: "host_full", Message: "the host has too many requests in progress", RetryAfter: time.Second}
	}
	adm.current++
	return sync.OnceFunc(func() {
		adm.mu.Lock()
		defer adm.mu.Unlock()
		adm.current--
	}), nil
}

// Current returns the number of requests in progress.
func (adm *Admitter) Current() int {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	return adm.current
}
