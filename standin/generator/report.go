package generator

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hemlockpin/connection/invoker"
)

// packFrom is the number of sequences from which a report is packed.
const packFrom = 8

// lagged is a load report that is shown later.
type lagged struct {
	at   time.Time
	load invoker.Load
}

// report keeps load reports until the lag has passed.
func (gen *Generator) report(now time.Time) {
	if cou := len(gen.lagged); cou > 0 && now.Sub(gen.lagged[cou-1].at) < gen.set.LoadLag/4 {
		return
	}
	gen.lagged = append(gen.lagged, lagged{now, gen.load(now)})
	lim := now.Add(-gen.set.LoadLag)
	for len(gen.lagged) > 1 && gen.lagged[1].at.Before(lim) {
		gen.lagged = gen.lagged[1:]
	}
}

func (gen *Generator) load(now time.Time) invoker.Load {
	loa := invoker.Load{
		Engine: gen.set.ID, Incarnation: gen.incarnation, Role: gen.config.roleOr("Serve"), Leaving: gen.isLeaving(), Models: gen.set.Models,
		Running: len(gen.running), Queued: len(gen.waiting), MemoryTokens: gen.set.MemoryTokens, UsedTokens: gen.used(),
		CachedTokens: gen.cache.tokens(), PrefillRate: gen.set.PrefillRate, StepMs: gen.set.Step.Seconds() * 1000,
	}
	for _, seq := range gen.waiting {
		loa.QueuedPromptTokens += seq.total()
		loa.Sequences = append(loa.Sequences, seq.entry("Queued", now))
	}
	for _, seq := range gen.running {
		loa.QueuedPromptTokens += max(0, seq.total()-seq.prefilled)
		loa.Sequences = append(loa.Sequences, seq.entry("Running", now))
	}
	for _, hol := range gen.holds {
		loa.Sequences = append(loa.Sequences, hol.entry(now))
	}
	return loa
}

func (gen *Generator) isLeaving() bool { return gen.leaving || gen.faults.Leaving }

func (seq *sequence) entry(kind string, now time.Time) invoker.Sequence {
	ent := invoker.Sequence{
		RequestID: seq.req.RequestID, Attempt: seq.req.Attempt, Owner: seq.req.Owner, Kind: kind, Tokens: seq.memory,
		AgeMs: now.Sub(seq.queuedAt).Milliseconds(), IdleMs: now.Sub(seq.movedAt).Milliseconds(),
		ExpiresMs: seq.expiresAt.Sub(now).Milliseconds(), Detached: seq.sink == 0,
	}
	return ent
}

func (hol hold) entry(now time.Time) invoker.Sequence {
	age := now.Sub(hol.at).Milliseconds()
	return invoker.Sequence{
		RequestID: hol.requestID, Owner: hol.owner, Tokens: hol.tokens, Kind: hol.kind, ID: hol.id,
		AgeMs: age, IdleMs: age, ExpiresMs: hol.expiresAt.Sub(now).Milliseconds(),
	}
}

// getLoad serves the lagging report. With MinIdleMs it lists only the sequences
// that may be lost.
func (gen *Generator) getLoad(wri http.ResponseWriter, htr *http.Request) {
	gen.mu.Lock()
	now := time.Now()
	gen.report(now)
	rep := gen.lagged[0]
	frozen := gen.faults.Freeze
	gen.mu.Unlock()
	if frozen {
		<-htr.Context().Done()
		return
	}
	loa := rep.load
	loa.AgeMs = now.Sub(rep.at).Milliseconds()
	if minIdle, err := strconv.ParseInt(htr.URL.Query().Get("MinIdleMs"), 10, 64); err == nil {
		loa.Sequences = suspects(rep.load.Sequences, minIdle)
	}
	if htr.URL.Query().Get("Holders") == "None" {
		loa.Sequences = nil
	}
	writePacked(wri, htr, loa)
}

// writePacked writes a report, packed where it is long and the caller takes it.
func writePacked(wri http.ResponseWriter, htr *http.Request, loa invoker.Load) {
	if len(loa.Sequences) < packFrom || !strings.Contains(htr.Header.Get("Accept-Encoding"), "gzip") {
		_ = json.NewEncoder(wri).Encode(loa)
		return
	}
	wri.Header().Set("Content-Encoding", "gzip")
	pac := gzip.NewWriter(wri)
	_ = json.NewEncoder(pac).Encode(loa)
	_ = pac.Close()
}

func suspects(seqs []invoker.Sequence, minIdle int64) []invoker.Sequence {
	var out []invoker.Sequence
	for _, seq := range seqs {
		if seq.Detached || seq.IdleMs >= minIdle || seq.ExpiresMs < 0 {
			out = append(out, seq)
		}
	}
	return out
}

// memory serves the true account without lag.
func (gen *Generator) memory(wri http.ResponseWriter, _ *http.Request) {
	gen.mu.Lock()
	loa := gen.load(time.Now())
	gen.mu.Unlock()
	_ = json.NewEncoder(wri).Encode(loa)
}

func (gen *Generator) getEvents(wri http.ResponseWriter, htr *http.Request) {
	aft, ok := decode[struct{ After uint64 }](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	eves := gen.cache.after(aft.After, gen.set.EventGap, time.Now().Add(-gen.set.EventLag))
	gen.mu.Unlock()
	_ = json.NewEncoder(wri).Encode(eves)
}
