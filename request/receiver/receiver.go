// Package receiver reads callers' requests: OpenAI-compatible prompts and calls
// to plain services.
package receiver

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"hemlockpin/request/hasher"

	"github.com/rotisserie/eris"
)

// Headers that callers may set.
const (
	// TimeLimitHeader shortens the time limit of the route, for example "2s".
	TimeLimitHeader = "Hemlockpin-Time-Limit"
	// KeyHeader carries the caller's idempotency key.
	KeyHeader = "Idempotency-Key"
	// KeyTimeHeader says when the key was issued, as RFC 3339, where the key
	// itself does not carry the time.
	KeyTimeHeader = "Idempotency-Key-Time"
)

const (
	defaultMaxTokens = 256
	// MaxAnswerTokens bounds the tokens that a caller may ask for.
	MaxAnswerTokens = 32_768
)

// BadRequestError is a fault of the caller's request.
type BadRequestError struct {
	Status  int
	Code    string
	Param   string
	Message string
}

// Error formats the fault.
func (err *BadRequestError) Error() string {
	return fmt.Sprintf("bad request: %s: %s", err.Code, err.Message)
}

// Prompt is a parsed request for an answer of a model.
type Prompt struct {
	Chat         bool
	Stream       bool
	IncludeUsage bool
	Model        string
	Text         string
	Tokens       int64
	MaxTokens    int64
	Seed         int64
}

// ParsePrompt reads the body of /v1/chat/completions or /v1/completions.
func ParsePrompt(bod io.Reader, maxBytes int64, chat bool) (Prompt, error) {
	buf, err := ReadBody(bod, maxBytes)
	if err != nil {
		return Prompt{}, err
	}
	var req struct {
		Model               string            `json:"model"`
		Prompt              json.RawMessage   `json:"prompt"`
		Messages            []json.RawMessage `json:"messages"`
		Stream              bool              `json:"stream"`
		MaxTokens           *int64            `json:"max_tokens"`
		MaxCompletionTokens *int64            `json:"max_completion_tokens"`
		Seed                int64             `json:"seed"`
		N                   *int64            `json:"n"`
		StreamOptions       struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
	}
	if err := json.Unmarshal(buf, &req); err != nil {
		return Prompt{}, bad("invalid_json", "", "the body is not valid JSON: "+err.Error())
	}
	pro := Prompt{Chat: chat, Stream: req.Stream, IncludeUsage: req.StreamOptions.IncludeUsage, Model: req.Model, Seed: req.Seed}
	if req.Model == "" {
		return Prompt{}, bad("missing_model", "model", "model is missing")
	}
	if req.N != nil && *req.N != 1 {
		return Prompt{}, bad("unsupported_n", "n", "n must be 1")
	}
	pro.Text, err = promptText(chat, req.Prompt, req.Messages)
	if err != nil {
		return Prompt{}, err
	}
	pro.Tokens = hasher.Tokens(pro.Text)
	pro.MaxTokens, err = answerLimit(req.MaxCompletionTokens, req.MaxTokens)
	return pro, err
}

// ReadBody reads a body of at most maxBytes.
func ReadBody(bod io.Reader, maxBytes int64) ([]byte, error) {
	buf, err := io.ReadAll(io.LimitReader(bod, maxBytes+1))
	if err != nil {
		return nil, &BadRequestError{Status: http.StatusRequestTimeout, Code: "body_incomplete", Message: "the body could not be read: " + err.Error()}
	}
	if int64(len(buf)) > maxBytes {
		return nil, &BadRequestError{Status: http.StatusRequestEntityTooLarge, Code: "body_too_large", Message: fmt.Sprintf("the body is over %d bytes", maxBytes)}
	}
	return buf, nil
}

func promptText(chat bool, pro json.RawMessage, mess []json.RawMessage) (string, error) {
	if !chat {
		var txt string
		if err := json.Unmarshal(pro, &txt); err != nil || txt == "" {
			return "", bad("invalid_prompt", "prompt", "prompt must be a non-empty string")
		}
		return txt, nil
	}
	if len(mess) == 0 {
		return "", bad("missing_messages", "messages", "messages is empty")
	}
	var bui strings.Builder
	for ind, raw := range mess {
		rol, con, err := message(raw)
		if err != nil {
			return "", bad("invalid_message", fmt.Sprintf("messages[%d]", ind), err.Error())
		}
		bui.WriteString(rol)
		bui.WriteString(": ")
		bui.WriteString(con)
		bui.WriteByte('\n')
	}
	return bui.String(), nil
}

// message reads one chat message, whose content is a string or a list of text parts.
func message(raw json.RawMessage) (rol, con string, err error) {
	var mes struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(raw, &mes); err != nil {
		return "", "", eris.New("a message must be an object with role and content")
	}
	if mes.Role == "" {
		return "", "", eris.New("role is missing")
	}
	if json.Unmarshal(mes.Content, &con) == nil {
		return mes.Role, con, nil
	}
	var pars []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(mes.Content, &pars) != nil {
		return "", "", eris.New("content must be a string or a list of parts")
	}
	for _, par := range pars {
		if par.Type != "text" {
			return "", "", eris.Errorf("content parts of type %q are not supported", par.Type)
		}
		con += par.Text
	}
	return mes.Role, con, nil
}

func answerLimit(lims ...*int64) (int64, error) {
	for _, lim := range lims {
		if lim == nil {
			continue
		}
		if *lim < 1 || *lim > MaxAnswerTokens {
			return 0, bad("invalid_max_tokens", "max_tokens", fmt.Sprintf("max_tokens must be 1 to %d", MaxAnswerTokens))
		}
		return *lim, nil
	}
	return defaultMaxTokens, nil
}

// BearerKey returns the key of the Authorization header.
func BearerKey(hea http.Header) (string, error) {
	key, ok := strings.CutPrefix(hea.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", &BadRequestError{Status: http.StatusUnauthorized, Code: "invalid_api_key", Message: "a bearer key is required"}
	}
	return key, nil
}

// Deadline applies the route's time limit, which the caller may shorten.
func Deadline(hea http.Header, lim time.Duration, now time.Time) (time.Time, error) {
	txt := hea.Get(TimeLimitHeader)
	if txt == "" {
		return now.Add(lim), nil
	}
	own, err := time.ParseDuration(txt)
	if err != nil || own <= 0 {
		return time.Time{}, bad("invalid_time_limit", TimeLimitHeader, "the time limit must be a positive duration such as 2s")
	}
	return now.Add(min(own, lim)), nil
}

func bad(code, param, message string) error {
	return &BadRequestError{Status: http.StatusBadRequest, Code: code, Param: param, Message: message}
}
