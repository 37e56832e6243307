package generator

import (
	"net/http"

	"hemlockpin/connection/invoker"
)

// Faults are the failures switched on.
type Faults struct {
	// Freeze stops all steps and signs of life while connections stay open.
	Freeze bool
	// Stall stops all steps; signs of life go on.
	Stall bool
	// Leaving marks the engine as leaving.
	Leaving bool
	// Refuse turns new work away.
	Refuse bool
	// LoseCancel acknowledges cancellations without carrying them out.
	LoseCancel bool
	// KeepDetached keeps sequences without a connection for good.
	KeepDetached bool

	// Streams bounds how many streams the faults below befall; 0 is no bound.
	Streams int
	// BreakAfter ends a stream after this many tokens.
	BreakAfter int64
	// Cross sends tokens under another request's identifier.
	Cross bool
	// Double sends each token twice.
	Double bool
	// Late sends each token of an earlier attempt before that of the present.
	Late bool
	// GapAfter leaves one token out after this many.
	GapAfter int64
	// FinishAfter claims a whole answer after this many tokens.
	FinishAfter int64
	// LieInUsage claims another prompt length at the end.
	LieInUsage bool
	// WrongModel confirms another model than was asked for.
	WrongModel bool
	// Malformed sends an event that can't be read after this many tokens.
	Malformed int64
	// Oversized sends an event beyond any size after this many tokens.
	Oversized int64
}

// forStream takes the faults of a new stream. The caller holds the lock.
func (gen *Generator) forStream() Faults {
	fau := gen.faults
	if !fau.ofStream() || fau.Streams == 0 {
		return fau
	}
	if gen.faults.Streams--; gen.faults.Streams == 0 {
		gen.faults = gen.faults.withoutStream()
	}
	return fau
}

func (fau Faults) ofStream() bool { return fau != fau.withoutStream() }

func (fau Faults) withoutStream() Faults {
	return Faults{
		Freeze: fau.Freeze, Stall: fau.Stall, Leaving: fau.Leaving, Refuse: fau.Refuse,
		LoseCancel: fau.LoseCancel, KeepDetached: fau.KeepDetached,
	}
}

func (gen *Generator) putFaults(wri http.ResponseWriter, htr *http.Request) {
	fau, ok := decode[Faults](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.faults = fau
}

// tokens are the events that a stream sends for one token.
func (fau Faults) tokens(tok invoker.Token) []invoker.Event {
	if fau.Cross {
		tok.RequestID = "crossed"
	}
	if fau.GapAfter > 0 && tok.Index == fau.GapAfter {
		return nil
	}
	eves := []invoker.Event{tok}
	if fau.Double {
		eves = append(eves, tok)
	}
	if fau.Late {
		old := tok
		old.Attempt--
		old.Text = " late"
		eves = append([]invoker.Event{old}, eves...)
	}
	return eves
}

// finish is the end event that a stream sends.
func (fau Faults) finish(fin invoker.Finish) invoker.Finish {
	if fau.Cross {
		fin.RequestID = "crossed"
	}
	if fau.LieInUsage {
		fin.PromptTokens += 1000
		fin.CachedTokens = fin.PromptTokens + 1
	}
	return fin
}
