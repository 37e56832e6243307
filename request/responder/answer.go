package responder

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"hemlockpin/connection/invoker"
)

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

// Token adds one token.
func (ans *Answer) Token(txt string) error {
	ans.text.WriteString(txt)
	if !ans.Stream {
		return nil
	}
	return ans.chunk(delta{Content: txt}, nil, nil)
}

// Finish ends the answer.
func (ans *Answer) Finish(fin invoker.Finish) error {
	if !ans.Stream {
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
	return ans.send([]byte("[DONE]"))
}

// Fail ends the answer with a problem. A stream that has begun gets an error
// event and no end mark, so that it can't be taken for whole.
func (ans *Answer) Fail(pro Problem) {
	if !ans.started {
		WriteProblem(ans.Writer, pro)
		return
	}
	note(ans.Writer, pro)
	buf, _ := json.Marshal(pro.body())
	_ = ans.send(buf)
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

func (ans *Answer) send(buf []byte) error {
	ans.begin()
	out := make([]byte, 0, len(buf)+8)
	out = append(out, "data: "...)
	out = append(out, buf...)
	out = append(out, "\n\n"...)
	if _, err := ans.Writer.Write(out); err != nil {
		return err
	}
	return http.NewResponseController(ans.Writer).Flush()
}

func (ans *Answer) chunk(del delta, reason *string, fin *invoker.Finish) error {
	type choice struct {
		Index        int     `json:"index"`
		Text         *string `json:"text,omitempty"`
		Delta        *delta  `json:"delta,omitempty"`
		FinishReason *string `json:"finish_reason"`
	}
	cho := choice{FinishReason: reason}
	if ans.Chat {
		if !ans.started {
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
	return ans.send(buf)
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
