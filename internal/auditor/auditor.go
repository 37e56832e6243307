// Package auditor checks the guarantees of a fleet after a run with faults. It uses
// only what can be seen from outside: the results of the callers, the number of
// executions that the services counted, the memory that the engines report as used,
// and the revision of the tables on each host.
package auditor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/internal/disturber"
	"hemlockpin/internal/testkit"
	"hemlockpin/load/mixer"
	"hemlockpin/load/sender"
)

const (
	// timeMargin is how much longer than its time limit a request may take,
	// which covers delays in the network and in the load generator.
	timeMargin = time.Second
	// reclaimLimit is the time within which engines must have freed all memory
	// that belongs to no request in progress.
	reclaimLimit = 90 * time.Second
	// propagationLimit is the time within which an accepted edit must be in
	// force on all hosts.
	propagationLimit = 7 * time.Second
	maxExamples      = 5
)

// Finding is a kind of violated guarantee, with the number of its violations and
// the first few of them.
type Finding struct {
	Kind     string
	Count    int
	Examples []string
}

// Kinds of findings.
const (
	CallsRunTwice    = "calls doubled"
	FalseNotRun      = "false not run"
	AnsweredNotRun   = "answered but not run"
	AnswersWrong     = "answers wrong"
	AnswersBroken    = "answers broken without a visible fault of their host"
	RequestsPastTime = "requests past their time"
	MemoryLost       = "engine memory lost"
	TableReverts     = "table reverts"
	TablesNotInForce = "accepted tables not in force"
	HostsNotReady    = "hosts not ready after the faults"
)

// Kinds lists all kinds of findings in the order of reports.
var Kinds = []string{CallsRunTwice, FalseNotRun, AnsweredNotRun, AnswersWrong, AnswersBroken, RequestsPastTime, MemoryLost, TableReverts, TablesNotInForce, HostsNotReady}

// Auditor collects observations during a run and checks them at the end.
type Auditor struct {
	Fleet *testkit.Fleet
	// TimeLimit is the time limit of every request.
	TimeLimit time.Duration

	mu        sync.Mutex
	results   []sender.Result
	revisions map[string]uint64
	accepted  uint64
	findings  map[string]*Finding
}

// Observe records the result of a request.
func (aud *Auditor) Observe(res sender.Result) {
	res.Gaps = nil
	aud.mu.Lock()
	defer aud.mu.Unlock()
	aud.results = append(aud.results, res)
}

// RecordAccepted records that a host reported a revision as accepted to an
// operator.
func (aud *Auditor) RecordAccepted(rev uint64) {
	aud.mu.Lock()
	defer aud.mu.Unlock()
	aud.accepted = max(aud.accepted, rev)
}

// Requests returns the number of results observed so far.
func (aud *Auditor) Requests() int {
	aud.mu.Lock()
	defer aud.mu.Unlock()
	return len(aud.results)
}

// AcceptedRevision returns the highest revision that was reported as accepted.
func (aud *Auditor) AcceptedRevision() uint64 {
	aud.mu.Lock()
	defer aud.mu.Unlock()
	return aud.accepted
}

func (aud *Auditor) record(kind, format string, args ...any) {
	aud.mu.Lock()
	defer aud.mu.Unlock()
	if aud.findings == nil {
		aud.findings = map[string]*Finding{}
	}
	fin := aud.findings[kind]
	if fin == nil {
		fin = &Finding{Kind: kind}
		aud.findings[kind] = fin
	}
	fin.Count++
	if len(fin.Examples) < maxExamples {
		fin.Examples = append(fin.Examples, fmt.Sprintf(format, args...))
	}
}

// WatchTables polls the revision of each host until ctx ends.
func (aud *Auditor) WatchTables(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		for _, host := range aud.Fleet.Hosts {
			aud.pollRevision(ctx, host, interval)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (aud *Auditor) pollRevision(ctx context.Context, host *testkit.Process, timeout time.Duration) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	sta, err := aud.Fleet.Status(ctx, host)
	if err != nil || sta.TablesRevision == 0 {
		return
	}
	aud.mu.Lock()
	if aud.revisions == nil {
		aud.revisions = map[string]uint64{}
	}
	old := aud.revisions[host.ID]
	aud.revisions[host.ID] = max(old, sta.TablesRevision)
	aud.mu.Unlock()
	if sta.TablesRevision < old {
		aud.record(TableReverts, "host %s went from revision %d to %d", host.ID, old, sta.TablesRevision)
	}
}

// Check checks all guarantees and returns one finding for each of Kinds, in that
// order, also if its count is 0. It is called after all faults are over.
func (aud *Auditor) Check(ctx context.Context, injected []disturber.InjectedFault) []Finding {
	aud.checkHosts(ctx)
	aud.checkTables(ctx)
	aud.checkMemory(ctx)
	aud.checkCalls(ctx)
	aud.checkAnswers(injected)
	aud.mu.Lock()
	defer aud.mu.Unlock()
	out := make([]Finding, 0, len(Kinds))
	for _, kind := range Kinds {
		fin := Finding{Kind: kind}
		if got := aud.findings[kind]; got != nil {
			fin = *got
		}
		out = append(out, fin)
	}
	return out
}

func (aud *Auditor) checkHosts(ctx context.Context) {
	for _, host := range aud.Fleet.Hosts {
		err := testkit.Poll(ctx, propagationLimit, func() bool {
			return testkit.GetOK(ctx, "http://"+host.Address+"/readyz") == nil
		})
		if err != nil {
			aud.record(HostsNotReady, "host %s", host.ID)
		}
	}
}

func (aud *Auditor) checkTables(ctx context.Context) {
	want := aud.AcceptedRevision()
	for _, host := range aud.Fleet.Hosts {
		err := testkit.Poll(ctx, propagationLimit, func() bool {
			sta, err := aud.Fleet.Status(ctx, host)
			return err == nil && sta.TablesRevision >= want
		})
		if err != nil {
			aud.record(TablesNotInForce, "host %s has not reached revision %d", host.ID, want)
		}
	}
}

// checkMemory waits until all engines have freed the memory of all sequences. No
// request is in progress any more when it is called.
func (aud *Auditor) checkMemory(ctx context.Context) {
	end := time.Now().Add(reclaimLimit)
	for _, eng := range aud.Fleet.Engines {
		var loa invoker.Load
		err := testkit.Poll(ctx, time.Until(end), func() bool {
			loa = invoker.Load{}
			err := testkit.GetJSON(ctx, "http://"+eng.Address+"/control/memory", &loa)
			return err == nil && len(loa.Sequences) == 0
		})
		if err != nil {
			aud.record(MemoryLost, "engine %s holds %+v", eng.ID, loa.Sequences)
		}
	}
}

func (aud *Auditor) checkCalls(ctx context.Context) {
	runs := map[string]int{}
	for _, svc := range aud.Fleet.Services {
		var counts map[string]int
		if err := testkit.GetJSON(ctx, "http://"+svc.Address+"/control/runs", &counts); err != nil {
			aud.record(AnsweredNotRun, "service %s does not answer: %v", svc.ID, err)
		}
		for key, n := range counts {
			runs[key] += n
		}
	}
	for _, res := range aud.results {
		if res.CallKey != "" {
			aud.checkCall(res, runs[res.CallKey])
		}
	}
}

func (aud *Auditor) checkCall(res sender.Result, runs int) {
	if runs > 1 {
		aud.record(CallsRunTwice, "key %s ran %d times, the responses reported %q", res.CallKey, runs, res.RanByAttempt)
	}
	if runs > 0 && allNotRun(res.RanByAttempt) {
		aud.record(FalseNotRun, "key %s ran %d times", res.CallKey, runs)
	}
	if runs == 0 && res.Status == 200 {
		aud.record(AnsweredNotRun, "key %s was answered", res.CallKey)
	}
}

func allNotRun(reports []string) bool {
	for _, report := range reports {
		if report != string(invoker.NotRun) {
			return false
		}
	}
	return len(reports) > 0
}

func (aud *Auditor) checkAnswers(injected []disturber.InjectedFault) {
	for _, res := range aud.results {
		isExcused := excused(res, injected)
		if res.Outcome == sender.Wrong {
			aud.record(AnswersWrong, "request %d of class %s at host %s: %s", res.Request.Number, res.Request.Class, res.Host, res.Code)
		}
		if res.Outcome == sender.Broken && !isExcused {
			aud.record(AnswersBroken, "request %d of class %s at host %s after %s: %s", res.Request.Number, res.Request.Class, res.Host, res.Total, res.Code)
		}
		if res.Total > aud.TimeLimit+timeMargin && !isExcused && res.Request.Kind != mixer.KindOnce {
			aud.record(RequestsPastTime, "request %d of class %s at host %s took %s: %s %s", res.Request.Number, res.Request.Class, res.Host, res.Total, res.Outcome, res.Code)
		}
	}
}

// excused reports whether a fault that callers can notice affected the request's
// host during the request.
func excused(res sender.Result, injected []disturber.InjectedFault) bool {
	end := res.StartedAt.Add(res.Total)
	for _, inf := range injected {
		if inf.Host != "" && inf.Host == res.Host && inf.From.Before(end) && inf.To.After(res.StartedAt) {
			return true
		}
	}
	return false
}

// Failed reports whether any finding has a count.
func Failed(fins []Finding) bool {
	for _, fin := range fins {
		if fin.Count > 0 {
			return true
		}
	}
	return false
}
