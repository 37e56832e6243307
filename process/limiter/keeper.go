package limiter

import (
	"math"
	"sync"
	"time"
)

// settleTime is the time that a new keeper listens before it gives shares, so
// that it has heard of all hosts. It is shorter than ShareLife.
const settleTime = 2 * Interval

// Keeper hands out the shares of teams' rates. Its zero value is ready.
type Coordinator struct {
	mu    sync.Mutex
	teams map[string]*account
}

type account struct {
	since time.Time
	hosts map[string]holding
}

// holding is a host's demand and the share that it holds for it.
type holding struct {
	rate  float64
	share float64
	at    time.Time
}

// Report takes a host's demands and returns its shares: its part of all hosts'
// demand, but no more than the shares of the others leave. Teams that the
// keeper has just taken over are left out.
func (kee *Coordinator) Report(host string, dems []Demand, now time.Time) []Share {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	if kee.teams == nil {
		kee.teams = map[string]*account{}
	}
	var out []Share
	for _, dem := range dems {
		acc := kee.teams[dem.Team]
		if acc == nil {
			acc = &account{since: now, hosts: map[string]holding{}}
			kee.teams[dem.Team] = acc
		}
		par := acc.give(host, dem.Rate, now)
		if now.Sub(acc.since) >= settleTime {
			out = append(out, Share{dem.Team, par})
		}
	}
	return out
}

func (acc *account) give(host string, rate float64, now time.Time) float64 {
	delete(acc.hosts, host)
	tot, hel := acc.sum(now)
	hol := holding{rate: rate, at: now}
	if tot+rate > 0 && now.Sub(acc.since) >= settleTime {
		hol.share = math.Max(0, math.Min(rate/(tot+rate), 1-hel))
	}
	acc.hosts[host] = hol
	return hol.share
}

// sum adds up demands and shares and forgets the hosts whose share has lapsed.
func (acc *account) sum(now time.Time) (rate, share float64) {
	for hos, hol := range acc.hosts {
		if now.Sub(hol.at) > ShareLife {
			delete(acc.hosts, hos)
			continue
		}
		rate += hol.rate
		share += hol.share
	}
	return rate, share
}

// Forget drops the teams that no host has reported lately.
func (kee *Coordinator) DropIdleTeams(now time.Time) {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	for nam, acc := range kee.teams {
		if _, _ = acc.sum(now); len(acc.hosts) == 0 {
			delete(kee.teams, nam)
		}
	}
}
