// Package limiter holds the teams' token rates over all hosts. Each host admits
// at its share of a team's rate. Keepers hand the shares out by the hosts'
// demands; no request waits for another host.
//
// The shares that are valid at a time sum up to one. A host without a valid
// share takes 1/N of the rate, and every host a tenth of that beside its share,
// so that a team can begin to send there. What N hosts admit of a team in a
// time T therefore stays below Rate x (1.1 x T + Burst + ShareLife) + N
// requests; Fleet.Bound adds what faults let through.
package limiter

import (
	"math"
	"sync"
	"time"

	"hemlockpin/version/parser"
)

const (
	// Interval is the time between two exchanges with the keepers.
	Interval = 2 * time.Second
	// Burst is the time for which a team may save up its rate.
	Burst = 2 * time.Second
	// ShareLife is the time for which a share is valid.
	ShareLife = 3 * Interval
	// demandPeriod is the time over which a host averages a team's demand.
	demandPeriod = 4 * time.Second
	// startShare is the part of 1/N that a host has beside its share.
	startShare = 0.1
	// assumedHosts stands in for the number of hosts until it is known.
	assumedHosts = 1000
	// forgetAfter is the time after which an idle team is forgotten, unless its
	// bucket is not full.
	forgetAfter = time.Minute

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// Demand is what a host is asked for by a team, in tokens a second.
type Demand struct {
	Team string
	Rate float64
}

// Share is a host's part of a team's rate, 0 to 1.
type Share struct {
	Team     string
	Fraction float64
}

// Limiter is the state of one host. Its zero value is ready.
type Limiter struct {
	mu    sync.Mutex
	hosts int
	teams map[string]*bucket
}

// bucket is a token bucket that one request may bring below zero.
type bucket struct {
	rate   float64
	level  float64
	demand float64
	at     time.Time
	used   time.Time
	// share is what the last exchange gave at the time shared.
	share  float64
	shared time.Time
}

// Take asks for tokens of a team's rate. It returns false and the time after
// which to try again when the host's share is used up.
func (lim *Limiter) Take(tea parser.Team, tokens int64, now time.Time) (time.Duration, bool) {
	if tea.TokensPerSecond <= 0 {
		return 0, true
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	buc := lim.bucket(tea, now)
	buc.advance(lim.hosts, now)
	buc.demand += float64(tokens) / demandPeriod.Seconds()
	buc.used = now
	if buc.level <= 0 {
		wai := time.Duration(-buc.level / buc.localRate(lim.hosts, now) * float64(time.Second))
		return min(maxRetryAfter, max(minRetryAfter, wai)), false
	}
	buc.level -= float64(tokens)
	return 0, true
}

func (lim *Limiter) bucket(tea parser.Team, now time.Time) *bucket {
	if lim.teams == nil {
		lim.teams = map[string]*bucket{}
	}
	buc := lim.teams[tea.Name]
	if buc == nil {
		buc = &bucket{rate: tea.TokensPerSecond, at: now}
		buc.level = buc.localRate(lim.hosts, now) * Burst.Seconds()
		lim.teams[tea.Name] = buc
	}
	buc.rate = tea.TokensPerSecond
	return buc
}

// localRate is the host's part of the team's rate, in tokens a second.
func (buc *bucket) localRate(hosts int, now time.Time) float64 {
	if hosts <= 0 {
		hosts = assumedHosts
	}
	equ := 1 / float64(hosts)
	if buc.shared.IsZero() || now.Sub(buc.shared) > ShareLife {
		return buc.rate * equ
	}
	return buc.rate * math.Min(1, buc.share+startShare*equ)
}

func (buc *bucket) advance(hosts int, now time.Time) {
	gap := now.Sub(buc.at)
	if gap <= 0 {
		return
	}
	loc := buc.localRate(hosts, now)
	buc.level = math.Min(buc.level+loc*gap.Seconds(), loc*Burst.Seconds())
	buc.demand *= math.Exp(-gap.Seconds() / demandPeriod.Seconds())
	buc.at = now
}

// full reports whether a new bucket would hold no more.
func (buc *bucket) full(hosts int, now time.Time) bool {
	return buc.level >= buc.localRate(hosts, now)*Burst.Seconds()
}

// Demands returns the demand of the teams in use, and of those that have not yet
// made up for what was admitted, and forgets the others.
func (lim *Limiter) Demands(now time.Time) []Demand {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	var dems []Demand
	for nam, buc := range lim.teams {
		buc.advance(lim.hosts, now)
		if now.Sub(buc.used) > forgetAfter && buc.full(lim.hosts, now) {
			delete(lim.teams, nam)
			continue
		}
		dems = append(dems, Demand{nam, buc.demand})
	}
	return dems
}

// SetHosts sets the number of live hosts.
func (lim *Limiter) SetHosts(cou int) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.hosts = cou
}

// Learn takes over the shares that a keeper gave.
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
		buc.shared = now
	}
}
