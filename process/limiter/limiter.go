// Package limiter limits the token rates of teams over all hosts. Each host admits
// requests at its share of a team's rate. Coordinators assign the shares by the demands
// that hosts report; no request waits for another host.
//
// The shares that are valid at a time sum up to at most one. A host without a valid
// share uses 1/N of the rate, and a host with a valid share admits a tenth of 1/N in
// addition, so that a team can start to send requests there. So what N hosts admit for
// a team in a time T stays below Rate x (1.1 x T + Burst + ShareLife) plus the tokens
// of N requests; Fleet.Bound also bounds what is admitted under faults.
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
	// Burst bounds the tokens in a bucket to those that the rate provides in this time.
	Burst = 2 * time.Second
	// ShareLife is the time for which a share is valid.
	ShareLife = 3 * Interval
	// demandPeriod is the time over which a host averages a team's demand.
	demandPeriod = 4 * time.Second
	// baseShare is the fraction of the equal share 1/N that a host with a share has in
	// addition.
	baseShare = 0.1
	// assumedHosts is the number of hosts that is assumed until SetHosts is called, so
	// that a host without a count admits little.
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
	mu      sync.Mutex
	hosts   int
	buckets map[string]*bucket
}

// bucket is a token bucket. One request may bring its level below zero.
type bucket struct {
	rate float64
	// level is in tokens.
	level float64
	// demand is in tokens a second.
	demand     float64
	advancedAt time.Time
	usedAt     time.Time
	// share is the fraction that the last exchange assigned, at time sharedAt.
	share    float64
	sharedAt time.Time
}

// Take takes tokens of a team's rate. While the host's bucket of the team is empty, it
// returns false and the time after which to retry.
func (lim *Limiter) Take(tea parser.Team, tokens int64, now time.Time) (time.Duration, bool) {
	if tea.TokensPerSecond <= 0 {
		return 0, true
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	buc := lim.bucketOf(tea, now)
	buc.advance(lim.hosts, now)
	buc.demand += float64(tokens) / demandPeriod.Seconds()
	buc.usedAt = now
	if buc.level <= 0 {
		wait := time.Duration(-buc.level / buc.localRate(lim.hosts, now) * float64(time.Second))
		return min(maxRetryAfter, max(minRetryAfter, wait)), false
	}
	buc.level -= float64(tokens)
	return 0, true
}

func (lim *Limiter) bucketOf(tea parser.Team, now time.Time) *bucket {
	if lim.buckets == nil {
		lim.buckets = map[string]*bucket{}
	}
	buc := lim.buckets[tea.Name]
	if buc == nil {
		buc = &bucket{rate: tea.TokensPerSecond, advancedAt: now}
		buc.level = buc.localRate(lim.hosts, now) * Burst.Seconds()
		lim.buckets[tea.Name] = buc
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
	elapsed := now.Sub(buc.advancedAt)
	if elapsed <= 0 {
		return
	}
	rate := buc.localRate(hosts, now)
	buc.level = math.Min(buc.level+rate*elapsed.Seconds(), rate*Burst.Seconds())
	buc.demand *= math.Exp(-elapsed.Seconds() / demandPeriod.Seconds())
	buc.advancedAt = now
}

// full reports whether the bucket has as many tokens as a new one would have.
func (buc *bucket) full(hosts int, now time.Time) bool {
	return buc.level >= buc.localRate(hosts, now)*Burst.Seconds()
}

// Demands returns the demands of the teams, and drops the teams that sent no request
// for idleTimeout and whose bucket is full.
func (lim *Limiter) Demands(now time.Time) []Demand {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	var dems []Demand
	for name, buc := range lim.buckets {
		buc.advance(lim.hosts, now)
		if now.Sub(buc.usedAt) > idleTimeout && buc.full(lim.hosts, now) {
			delete(lim.buckets, name)
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
		buc := lim.buckets[sha.Team]
		if buc == nil {
			continue
		}
		buc.advance(lim.hosts, now)
		buc.share = math.Min(1, math.Max(0, sha.Fraction))
		buc.sharedAt = now
	}
}
