// Package receiver reads callers' requests: OpenAI-compatible prompts and calls
// to plain services.
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
	// KeyTimeHeader says when the key was issued, as RFC 3339, where the key
	// itself does not carry the time.
	KeyTimeHeader = "Idempotency-Key-Time"
)

const (
	// MaxBearerBytes bounds a bearer key.
	MaxBearerBytes = 1024
	// MinTimeLimit is the shortest time limit that a caller may ask for.
	MinTimeLimit = time.Millisecond
)

// BadRequestError is a fault of the caller's request.
type BadRequestError struct {
	Status  int
	Code    string
	Param   string
	Message string
	// RetryAfter says when the same request may succeed; 0 for never.
	RetryAfter time.Duration
}

// Error formats the fault.
func (err *BadRequestError) Error() string {
	return fmt.Sprintf("bad request: %s: %s", err.Code, err.Message)
}

// BearerKey returns the key of the Authorization header.
func BearerKey(hea http.Header) (string, error) {
	key, ok := strings.CutPrefix(hea.Get("Authorization"), "Bearer ")
	if !ok || key == "" || len(key) > MaxBearerBytes {
		return "", &BadRequestError{Status: http.StatusUnauthorized, Code: "invalid_api_key", Message: "a bearer key is required"}
	}
	return key, nil
}

// ValidateHeaders checks the headers of hemlockpin's own before anything of the
// body is read. now is the present time.
func ValidateHeaders(hea http.Header, now time.Time) error {
	for _, nam := range []string{TimeLimitHeader, KeyHeader, KeyTimeHeader, "Authorization"} {
		if len(hea.Values(nam)) > 1 {
			return bad("repeated_header", nam, "the header "+nam+" stands twice")
		}
	}
	if err := validateKey(hea); err != nil {
		return err
	}
	_, err := Deadline(hea, time.Hour, now)
	return err
}

func validateKey(hea http.Header) error {
	if len(hea.Values(KeyHeader)) > 0 && !claimer.ValidKey(hea.Get(KeyHeader)) {
		return bad("idempotency_key_invalid", KeyHeader, fmt.Sprintf("the key must be 1 to %d printable ASCII characters without spaces", claimer.MaxKeyBytes))
	}
	return nil
}

// Deadline applies the route's time limit, which the caller may shorten.
func Deadline(hea http.Header, lim time.Duration, now time.Time) (time.Time, error) {
	txt := hea.Get(TimeLimitHeader)
	if txt == "" {
		return now.Add(lim), nil
	}
	own, err := time.ParseDuration(txt)
	if err != nil || own < MinTimeLimit {
		return time.Time{}, bad("invalid_time_limit", TimeLimitHeader, fmt.Sprintf("the time limit must be a duration of at least %s, such as 2s", MinTimeLimit))
	}
	return now.Add(min(own, lim)), nil
}

func bad(code, param, message string) error {
	return &BadRequestError{Status: http.StatusBadRequest, Code: code, Param: param, Message: message}
}
