package limiter

import (
	"math"
	"sync"
	"time"
)

// collectTime is the time for which a coordinator only collects the demands of a team
// that is new to it, so that it has received the demands of all hosts before it assigns
// shares. It is shorter than ShareLife.
const collectTime = 2 * Interval

// Coordinator assigns shares of the teams' rates to hosts. Its zero value is ready.
type Coordinator struct {
	mu    sync.Mutex
	teams map[string]*teamShares
}

// teamShares holds the demands and shares of one team by host.
type teamShares struct {
	// since is when the team's first demand arrived.
	since time.Time
	hosts map[string]hostShare
}

// hostShare is a host's demand and the share that was assigned for it.
type hostShare struct {
	// rate is in tokens a second.
	rate       float64
	share      float64
	reportedAt time.Time
}

// Report records a host's demands and returns its shares. A share is the host's part of
// the demand of all hosts, but no more than the shares of the other hosts leave. Teams
// whose first demand arrived less than collectTime ago are left out.
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
		if now.Sub(tsh.since) >= collectTime {
			out = append(out, Share{dem.Team, fraction})
		}
	}
	return out
}

// assign records a host's demand and returns the host's new share, which replaces its
// old one; it is 0 during collectTime.
func (tsh *teamShares) assign(host string, rate float64, now time.Time) float64 {
	delete(tsh.hosts, host)
	totalRate, heldShare := tsh.dropExpiredAndSum(now)
	own := hostShare{rate: rate, reportedAt: now}
	if totalRate+rate > 0 && now.Sub(tsh.since) >= collectTime {
		own.share = math.Max(0, math.Min(rate/(totalRate+rate), 1-heldShare))
	}
	tsh.hosts[host] = own
	return own.share
}

// dropExpiredAndSum drops the hosts whose shares have expired, and returns the sums of
// the demands and of the shares of the others.
func (tsh *teamShares) dropExpiredAndSum(now time.Time) (totalRate, heldShare float64) {
	for host, hsh := range tsh.hosts {
		if now.Sub(hsh.reportedAt) > ShareLife {
			delete(tsh.hosts, host)
			continue
		}
		totalRate += hsh.rate
		heldShare += hsh.share
	}
	return totalRate, heldShare
}

// DropIdleTeams drops the teams for which no host has a valid share.
func (coo *Coordinator) DropIdleTeams(now time.Time) {
	coo.mu.Lock()
	defer coo.mu.Unlock()
	for name, tsh := range coo.teams {
		if _, _ = tsh.dropExpiredAndSum(now); len(tsh.hosts) == 0 {
			delete(coo.teams, name)
		}
	}
}
