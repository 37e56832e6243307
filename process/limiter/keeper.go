package limiter

import (
	"math"
	"sync"
	"time"
)

// learningTime is the time for which a new coordinator only collects demands, so that it
// has received those of all hosts before it assigns shares. It is shorter than ShareLife.
const learningTime = 2 * Interval

// Coordinator assigns shares of the teams' rates to hosts. Its zero value is ready.
type Coordinator struct {
	mu    sync.Mutex
	teams map[string]*teamShares
}

type teamShares struct {
	since time.Time
	hosts map[string]hostShare
}

// hostShare is a host's demand and the share that was assigned for it.
type hostShare struct {
	rate  float64
	share float64
	at    time.Time
}

// Report records a host's demands and returns its shares. A share is the host's part of
// the demand of all hosts, but no more than the shares of the other hosts leave. Teams
// that the coordinator has had for less than learningTime are left out.
func (coo *Coordinator) Report(host string, dems []Demand, now time.Time) []Share {
	coo.mu.Lock()
	defer coo.mu.Unlock()
	if coo.teams == nil {
		coo.teams = map[string]*teamShares{}
	}
	var out []Share
	for _, dem := range dems {
		tsh := coo.teams[dem.Team]
		if tsh == nil {
			tsh = &teamShares{since: now, hosts: map[string]hostShare{}}
			coo.teams[dem.Team] = tsh
		}
		fraction := tsh.assign(host, dem.Rate, now)
		if now.Sub(tsh.since) >= learningTime {
			out = append(out, Share{dem.Team, fraction})
		}
	}
	return out
}

func (tsh *teamShares) assign(host string, rate float64, now time.Time) float64 {
	delete(tsh.hosts, host)
	totalRate, heldShare := tsh.sum(now)
	own := hostShare{rate: rate, at: now}
	if totalRate+rate > 0 && now.Sub(tsh.since) >= learningTime {
		own.share = math.Max(0, math.Min(rate/(totalRate+rate), 1-heldShare))
	}
	tsh.hosts[host] = own
	return own.share
}

// sum returns the sums of demands and shares, and drops hosts whose share has expired.
func (tsh *teamShares) sum(now time.Time) (rate, share float64) {
	for host, sha := range tsh.hosts {
		if now.Sub(sha.at) > ShareLife {
			delete(tsh.hosts, host)
			continue
		}
		rate += sha.rate
		share += sha.share
	}
	return rate, share
}

// DropIdleTeams drops the teams for which no host has a valid share.
func (coo *Coordinator) DropIdleTeams(now time.Time) {
	coo.mu.Lock()
	defer coo.mu.Unlock()
	for name, tsh := range coo.teams {
		if _, _ = tsh.sum(now); len(tsh.hosts) == 0 {
			delete(coo.teams, name)
		}
	}
}
