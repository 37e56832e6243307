// Package limiter limits the token rates of teams over all hosts. Each host admits
// requests at its share of a team's rate. Coordinators assign the shares by the demands
// that hosts report; no request waits for another host.
//
// The shares that are valid at a time sum up to at most one. A host without a valid share
// uses 1/N of the rate, and every host has a tenth of that in addition to its share, so
// that a team can start to send there. So what N hosts admit for a team in a time T stays
// below Rate x (1.1 x T + Burst + ShareLife) + N requests; Fleet.Bound adds what faults
// let through.
package limiter

import (
	"math"
	"sync"
	"time"

	"hemlockpin/version/parser"
)

const (
	// Interval is the time between two exchanges with the coordinators.
	Interval = 2 * time.Second
	// Burst is the time for which a team can save up unused rate.
	Burst = 2 * time.Second
	// ShareLife is the time for which a share is valid.
	ShareLife = 3 * Interval
	// demandPeriod is the time over which a host averages a team's demand.
	demandPeriod = 4 * time.Second
	// baseShare is the part of 1/N that a host has in addition to its share.
	baseShare = 0.1
	// assumedHosts is the number of hosts to assume until it is known.
	assumedHosts = 1000
	// idleTimeout is the time after which an idle team is dropped, provided that its
	// bucket is full.
	idleTimeout = time.Minute

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// Demand is the rate that a team requests of a host, in tokens a second.
type Demand struct {
	Team string
	Rate float64
}

// Share is the fraction of a team's rate that a host may admit, from 0 to 1.
type Share struct {
	Team     string
	Fraction float64
}

// Limiter limits the teams' rates on one host. Its zero value is ready.
type Limiter struct {
	mu    sync.Mutex
	hosts int
	teams map[string]*bucket
}

// bucket is a token bucket. One request may bring its level below zero.
type bucket struct {
	rate     float64
	level    float64
	demand   float64
	advanced time.Time
	used     time.Time
	// share is the fraction that the last exchange assigned, at time sharedAt.
	share    float64
	sharedAt time.Time
}

// Take takes tokens of a team's rate. If the host's share is used up, it returns false
// and the time after which to retry.
func (lim *Limiter) Take(tea parser.Team, tokens int64, now time.Time) (time.Duration, bool) {
	if tea.TokensPerSecond <= 0 {
		return 0, true
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	buc := lim.bucketOf(tea, now)
	buc.advance(lim.hosts, now)
	buc.demand += float64(tokens) / demandPeriod.Seconds()
	buc.used = now
	if buc.level <= 0 {
		wait := time.Duration(-buc.level / buc.localRate(lim.hosts, now) * float64(time.Second))
		return min(maxRetryAfter, max(minRetryAfter, wait)), false
	}
	buc.level -= float64(tokens)
	return 0, true
}

func (lim *Limiter) bucketOf(tea parser.Team, now time.Time) *bucket {
	if lim.teams == nil {
		lim.teams = map[string]*bucket{}
	}
	buc := lim.teams[tea.Name]
	if buc == nil {
		buc = &bucket{rate: tea.TokensPerSecond, advanced: now}
		buc.level = buc.localRate(lim.hosts, now) * Burst.Seconds()
		lim.teams[tea.Name] = buc
	}
	buc.rate = tea.TokensPerSecond
	return buc
}

// localRate returns the host's part of the team's rate, in tokens a second.
func (buc *bucket) localRate(hosts int, now time.Time) float64 {
	if hosts <= 0 {
		hosts = assumedHosts
	}
	equalShare := 1 / float64(hosts)
	if buc.sharedAt.IsZero() || now.Sub(buc.sharedAt) > ShareLife {
		return buc.rate * equalShare
	}
	return buc.rate * math.Min(1, buc.share+baseShare*equalShare)
}

func (buc *bucket) advance(hosts int, now time.Time) {
	elapsed := now.Sub(buc.advanced)
	if elapsed <= 0 {
		return
	}
	rate := buc.localRate(hosts, now)
	buc.level = math.Min(buc.level+rate*elapsed.Seconds(), rate*Burst.Seconds())
	buc.demand *= math.Exp(-elapsed.Seconds() / demandPeriod.Seconds())
	buc.advanced = now
}

// full reports whether the bucket has as many tokens as a new one would have.
func (buc *bucket) full(hosts int, now time.Time) bool {
	return buc.level >= buc.localRate(hosts, now)*Burst.Seconds()
}

// Demands returns the demand of each team in use or whose bucket is not full, and drops
// the other teams.
func (lim *Limiter) Demands(now time.Time) []Demand {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	var dems []Demand
	for name, buc := range lim.teams {
		buc.advance(lim.hosts, now)
		if now.Sub(buc.used) > idleTimeout && buc.full(lim.hosts, now) {
			delete(lim.teams, name)
			continue
		}
		dems = append(dems, Demand{name, buc.demand})
	}
	return dems
}

// SetHosts sets the number of live hosts.
func (lim *Limiter) SetHosts(count int) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.hosts = count
}

// SetShares sets the shares that a coordinator assigned.
func (lim *Limiter) SetShares(shas []Share, now time.Time) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	for _, sha := range shas {
		buc := lim.teams[sha.Team]
		if buc == nil {
			continue
		}
		buc.advance(lim.hosts, now)
		buc.share = math.Min(1, math.Max(0, sha.Fraction))
		buc.sharedAt = now
	}
}
