package responder

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"hemlockpin/connection/invoker"

	"github.com/rotisserie/eris"
)

const (
	// slowCallerTimeout bounds one write to a caller. The buffers of the
	// connection are all that a caller which does not read can hold.
	slowCallerTimeout = 5 * time.Second
	// rearmInterval is how often the bound of the writes is moved on.
	rearmInterval = 250 * time.Millisecond
)

// ErrSlowCaller marks an answer that the caller does not read.
var ErrSlowCaller = eris.New("responder: the caller does not read the answer")

// Answer writes the tokens of one request, streamed or whole.
type Answer struct {
	Writer       http.ResponseWriter
	ID           string
	Model        string
	Chat         bool
	Stream       bool
	IncludeUsage bool
	Created      time.Time

	started bool
	// text keeps the answer so far: whole answers need it, and a resume on
	// another engine continues from it.
	text strings.Builder
	// pending holds the chunks that were not sent yet.
	pending []byte
	// head and tail are the constant parts of a chunk around its text.
	head  []byte
	tail  []byte
	armed time.Time
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	Details          struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Text returns the text so far.
func (ans *Answer) Text() string { return ans.text.String() }

// Started reports whether a part of the answer has reached the caller.
func (ans *Answer) Started() bool { return ans.started }

// Token adds one token. A streamed token reaches the caller with the next Flush.
func (ans *Answer) Token(txt string) error {
	ans.text.WriteString(txt)
	if !ans.Stream {
		return nil
	}
	if ans.head == nil {
		ans.renderFrame()
		return ans.chunk(delta{Content: txt}, nil, nil)
	}
	ans.pending = append(ans.pending, ans.head...)
	ans.pending = appendString(ans.pending, txt)
	ans.pending = append(ans.pending, ans.tail...)
	return nil
}

// renderFrame prepares what all chunks after the first have in common.
func (ans *Answer) renderFrame() {
	fra := []byte(`data: {"id":`)
	fra = appendString(fra, ans.ID)
	fra = append(fra, `,"object":`...)
	fra = appendString(fra, ans.object(true))
	fra = append(fra, `,"created":`...)
	fra = strconv.AppendInt(fra, ans.Created.Unix(), 10)
	fra = append(fra, `,"model":`...)
	fra = appendString(fra, ans.Model)
	fra = append(fra, `,"choices":[{"index":0,`...)
	if ans.Chat {
		ans.head = slices.Concat(fra, []byte(`"delta":{"content":`))
		ans.tail = []byte("},\"finish_reason\":null}]}\n\n")
		return
	}
	ans.head = slices.Concat(fra, []byte(`"text":`))
	ans.tail = []byte(",\"finish_reason\":null}]}\n\n")
}

// appendString appends a JSON string. Plain ASCII is copied.
func appendString(dst []byte, txt string) []byte {
	for ind := range len(txt) {
		if byt := txt[ind]; byt < ' ' || byt > '~' || byt == '"' || byt == '\\' {
			buf, _ := json.Marshal(txt)
			return append(dst, buf...)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, txt...)
	return append(dst, '"')
}

// Flush sends the tokens added since the last Flush. It fails with
// ErrSlowCaller when the caller takes nothing within the bound.
func (ans *Answer) Flush(now time.Time) error {
	if len(ans.pending) == 0 {
		return nil
	}
	ans.begin()
	con := http.NewResponseController(ans.Writer)
	ans.arm(con, now)
	_, err := ans.Writer.Write(ans.pending)
	ans.pending = ans.pending[:0]
	if err == nil {
		err = con.Flush()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return eris.Wrap(ErrSlowCaller, "Answer.Flush")
	}
	return err
}

// arm bounds the next writes. Writers without deadlines are left as they are.
func (ans *Answer) arm(con *http.ResponseController, now time.Time) {
	if now.Sub(ans.armed) < rearmInterval {
		return
	}
	ans.armed = now
	_ = con.SetWriteDeadline(now.Add(slowCallerTimeout))
}

// Close lifts the bound of the writes, so that the caller's connection can
// serve further requests.
func (ans *Answer) Close() {
	if !ans.armed.IsZero() {
		_ = http.NewResponseController(ans.Writer).SetWriteDeadline(time.Time{})
	}
}

// Finish ends the answer.
func (ans *Answer) Finish(fin invoker.Finish, now time.Time) error {
	if !ans.Stream {
		ans.arm(http.NewResponseController(ans.Writer), now)
		ans.whole(fin)
		return nil
	}
	if err := ans.chunk(delta{}, &fin.Reason, nil); err != nil {
		return err
	}
	if ans.IncludeUsage {
		if err := ans.chunk(delta{}, nil, &fin); err != nil {
			return err
		}
	}
	ans.event([]byte("[DONE]"))
	return ans.Flush(now)
}

// Fail ends the answer with a problem. A stream that has begun gets an error
// event and no end mark, so that it can't be taken for whole.
func (ans *Answer) Fail(pro Problem, now time.Time) {
	if !ans.started {
		WriteProblem(ans.Writer, pro)
		return
	}
	note(ans.Writer, pro)
	buf, _ := json.Marshal(pro.body())
	ans.event(buf)
	_ = ans.Flush(now)
}

func (ans *Answer) begin() {
	if ans.started {
		return
	}
	ans.started = true
	hea := ans.Writer.Header()
	hea.Set("Content-Type", "text/event-stream")
	hea.Set("Cache-Control", "no-cache")
	hea.Set(RunHeader, string(invoker.Ran))
	ans.Writer.WriteHeader(http.StatusOK)
}

func (ans *Answer) event(buf []byte) {
	ans.pending = append(ans.pending, "data: "...)
	ans.pending = append(ans.pending, buf...)
	ans.pending = append(ans.pending, "\n\n"...)
}

// chunk adds a chunk that differs from the plain ones.
func (ans *Answer) chunk(del delta, reason *string, fin *invoker.Finish) error {
	type choice struct {
		Index        int     `json:"index"`
		Text         *string `json:"text,omitempty"`
		Delta        *delta  `json:"delta,omitempty"`
		FinishReason *string `json:"finish_reason"`
	}
	cho := choice{FinishReason: reason}
	if ans.Chat {
		if !ans.started && len(ans.pending) == 0 {
			del.Role = "assistant"
		}
		cho.Delta = &del
	} else {
		cho.Text = &del.Content
	}
	chos := []choice{cho}
	if fin != nil {
		chos = []choice{}
	}
	buf, err := json.Marshal(struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}{ans.ID, ans.object(true), ans.Created.Unix(), ans.Model, chos, usageOf(fin)})
	if err != nil {
		return err
	}
	ans.event(buf)
	return nil
}

func (ans *Answer) object(chunk bool) string {
	switch {
	case ans.Chat && chunk:
		return "chat.completion.chunk"
	case ans.Chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func usageOf(fin *invoker.Finish) *usage {
	if fin == nil {
		return nil
	}
	usa := &usage{PromptTokens: fin.PromptTokens, CompletionTokens: fin.CompletionTokens, TotalTokens: fin.PromptTokens + fin.CompletionTokens}
	usa.Details.CachedTokens = fin.CachedTokens
	return usa
}

func (ans *Answer) whole(fin invoker.Finish) {
	ans.started = true
	ans.Writer.Header().Set(RunHeader, string(invoker.Ran))
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int      `json:"index"`
		Text         *string  `json:"text,omitempty"`
		Message      *message `json:"message,omitempty"`
		FinishReason string   `json:"finish_reason"`
	}
	txt := ans.text.String()
	cho := choice{FinishReason: fin.Reason}
	if ans.Chat {
		cho.Message = &message{"assistant", txt}
	} else {
		cho.Text = &txt
	}
	WriteJSON(ans.Writer, http.StatusOK, struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage"`
	}{ans.ID, ans.object(false), ans.Created.Unix(), ans.Model, []choice{cho}, usageOf(&fin)})
}
