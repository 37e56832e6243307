package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"hemlockpin/connection/invoker"
)

const (
	// batchTokens bounds the tokens sent in one write.
	batchTokens    = 64
	oversizedBytes = 4 << 20
)

// stream is one connection that reads a sequence.
type stream struct {
	generator *Generator
	sequence  *sequence
	req       invoker.GenerateRequest
	faults    Faults
	writer    http.ResponseWriter
	buf       bytes.Buffer
}

// run sends events until the sequence or the connection ends.
func (str *stream) run(ctx context.Context) {
	gen := str.generator
	con := http.NewResponseController(str.writer)
	tic := time.NewTicker(gen.set.IdleEvery)
	defer tic.Stop()
	for {
		more := str.collect()
		_, err := str.writer.Write(str.buf.Bytes())
		str.buf.Reset()
		if err == nil {
			err = con.Flush()
		}
		if !more {
			return
		}
		if err != nil || ctx.Err() != nil {
			break
		}
		select {
		case <-str.sequence.notify:
		case <-tic.C:
			str.idle()
		case <-ctx.Done():
		}
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.detach(str.sequence, str.req.Attempt, time.Now())
}

func (str *stream) idle() {
	gen := str.generator
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if gen.faults.Freeze {
		return
	}
	str.event("Idle", invoker.Idle{Prefilled: str.sequence.prefilled, Ahead: gen.ahead(str.sequence)})
}

// collect renders what the reader has not got and reports whether more follows.
func (str *stream) collect() bool {
	gen := str.generator
	seq := str.sequence
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if seq.sink != str.req.Attempt {
		return false
	}
	if gen.faults.Freeze {
		str.buf.Reset()
		return true
	}
	for cou := 0; seq.read < seq.next && cou < batchTokens; cou++ {
		if !str.token() {
			gen.detach(seq, str.req.Attempt, time.Now())
			return false
		}
	}
	if seq.read < seq.next {
		seq.tell()
		return true
	}
	return str.ending()
}

// token renders the next token and reports whether the stream goes on.
func (str *stream) token() bool {
	seq := str.sequence
	sent := seq.read - str.req.StartIndex
	fau := str.faults
	switch {
	case fau.BreakAfter > 0 && sent >= fau.BreakAfter:
		return false
	case fau.FinishAfter > 0 && sent >= fau.FinishAfter:
		str.finish(seq.read)
		return false
	case fau.Malformed > 0 && sent == fau.Malformed:
		str.buf.WriteString("event: Token\ndata: {\"Index\": nonsense\n\n")
	case fau.Oversized > 0 && sent == fau.Oversized:
		str.buf.WriteString("event: Token\ndata: " + strings.Repeat("x", oversizedBytes) + "\n\n")
	}
	tok := invoker.Token{RequestID: str.req.RequestID, Attempt: str.req.Attempt, Index: seq.read, Text: tokenText(seq.digest, str.req.Seed, seq.read)}
	for _, eve := range fau.tokens(tok) {
		str.event("Token", eve)
	}
	seq.read++
	return true
}

func (str *stream) ending() bool {
	seq := str.sequence
	if !seq.done {
		return true
	}
	if seq.failed != nil {
		str.event("Error", *seq.failed)
	} else {
		str.finish(seq.next)
	}
	str.generator.remove(seq)
	return false
}

func (str *stream) finish(tokens int64) {
	fin := invoker.Finish{
		RequestID: str.req.RequestID, Attempt: str.req.Attempt, Reason: "length", PromptTokens: str.req.PromptTokens,
		CachedTokens: min(str.sequence.cached, str.req.PromptTokens), CompletionTokens: tokens,
	}
	str.event("Finish", str.faults.finish(fin))
}

func (str *stream) event(name string, eve any) {
	buf, _ := json.Marshal(eve)
	fmt.Fprintf(&str.buf, "event: %s\ndata: %s\n\n", name, buf)
}
