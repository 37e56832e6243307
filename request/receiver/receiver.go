// Package receiver reads and validates callers' requests: OpenAI-compatible
// prompts, and the headers and bodies of calls to plain services.
package receiver

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"hemlockpin/request/claimer"
)

// Headers that callers may set.
const (
	// TimeLimitHeader shortens the time limit of the route, for example "2s".
	TimeLimitHeader = "Hemlockpin-Time-Limit"
	// KeyHeader carries the caller's idempotency key.
	KeyHeader = "Idempotency-Key"
	// KeyTimeHeader is the time at which the key was issued, as RFC 3339, if the
	// key itself does not contain the time.
	KeyTimeHeader = "Idempotency-Key-Time"
)

const (
	// MaxBearerBytes bounds the length of a bearer key, the caller's API key.
	MaxBearerBytes = 1024
	// MinTimeLimit is the shortest time limit that a caller may request.
	MinTimeLimit = time.Millisecond
)

// RefusalError is a refusal of a caller's request, with its HTTP status.
type RefusalError struct {
	Status  int
	Code    string
	Param   string
	Message string
	// RetryAfter is the time after which the same request may succeed; 0 means
	// that it cannot succeed.
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (err *RefusalError) Error() string {
	return fmt.Sprintf("bad request: %s: %s", err.Code, err.Message)
}

// BearerKey returns the bearer key of the Authorization header.
func BearerKey(hea http.Header) (string, error) {
	key, ok := strings.CutPrefix(hea.Get("Authorization"), "Bearer ")
	if !ok || key == "" || len(key) > MaxBearerBytes {
		return "", &RefusalError{Status: http.StatusUnauthorized, Code: "invalid_api_key", Message: "a bearer key is required"}
	}
	return key, nil
}

// ValidateHeaders validates the headers that this package reads, before the body is
// read. It does not check the bearer key, and the result does not depend on now.
func ValidateHeaders(hea http.Header, now time.Time) error {
	for _, name := range []string{TimeLimitHeader, KeyHeader, KeyTimeHeader, "Authorization"} {
		if len(hea.Values(name)) > 1 {
			return badRequest("repeated_header", name, "the header "+name+" stands twice")
		}
	}
	if err := validateIdempotencyKey(hea); err != nil {
		return err
	}
	// Only the form of the header is checked; the result does not depend on the limit.
	_, err := Deadline(hea, time.Hour, now)
	return err
}

func validateIdempotencyKey(hea http.Header) error {
	if len(hea.Values(KeyHeader)) > 0 && !claimer.ValidKey(hea.Get(KeyHeader)) {
		return badRequest("idempotency_key_invalid", KeyHeader, fmt.Sprintf("the key must be 1 to %d printable ASCII characters without spaces", claimer.MaxKeyBytes))
	}
	return nil
}

// Deadline returns the deadline of a request that arrives now. The route's time
// limit applies, unless the caller's header shortens it.
func Deadline(hea http.Header, limit time.Duration, now time.Time) (time.Time, error) {
	text := hea.Get(TimeLimitHeader)
	if text == "" {
		return now.Add(limit), nil
	}
	requested, err := time.ParseDuration(text)
	if err != nil || requested < MinTimeLimit {
		return time.Time{}, badRequest("invalid_time_limit", TimeLimitHeader, fmt.Sprintf("the time limit must be a duration of at least %s, such as 2s", MinTimeLimit))
	}
	return now.Add(min(requested, limit)), nil
}

func badRequest(code, param, message string) error {
	return &RefusalError{Status: http.StatusBadRequest, Code: code, Param: param, Message: message}
}
