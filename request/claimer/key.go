package claimer

import (
	"net/http"
	"time"

	"hemlockpin/connection/invoker"

	"github.com/google/uuid"
)

const (
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 200

	// uuidTimeVersion is the version of UUIDs that contain their time.
	uuidTimeVersion = 7
)

// Key is the idempotency key of a call. It is an immutable value.
//
// A key includes its time, so that a repeat that arrives after the claim was removed is
// recognized as too old. The time is part of the key's identity: while the claim is
// kept, the same text with another time is refused as a reused key.
type Key struct {
	Text string
	Time time.Time
	// FromCaller says that the caller supplied the key, so that an earlier call may
	// have used it.
	FromCaller bool
}

// NewKey generates the key of a call whose caller supplied none.
func NewKey(now time.Time) Key {
	return Key{Text: uuid.Must(uuid.NewV7()).String(), Time: now}
}

// ParseKey parses the key and the time that a caller supplied. A UUID of version 7
// contains its time; any other key needs a time in RFC 3339 format. ParseKey returns a
// Fail for an invalid key. Such a call does not run, but an earlier call may have used
// the same key with a valid time.
func ParseKey(text, keyTimeText string, now time.Time, skew time.Duration) (Key, *Fail) {
	if !ValidKey(text) {
		return Key{}, badKey("idempotency_key_invalid", "the key must be 1 to 200 printable ASCII characters", invoker.NotRun)
	}
	key := Key{Text: text, FromCaller: true}
	keyTime, ok := uuidTime(text)
	if !ok {
		if keyTimeText == "" {
			return Key{}, badKey("idempotency_key_time_missing", "the key must be a UUID of version 7 or come with Idempotency-Key-Time", invoker.Unknown)
		}
		var err error
		keyTime, err = time.Parse(time.RFC3339, keyTimeText)
		if err != nil {
			return Key{}, badKey("idempotency_key_time_invalid", "Idempotency-Key-Time must be a time as in RFC 3339", invoker.Unknown)
		}
	}
	if keyTime.After(now.Add(skew)) {
		// A host whose clock is ahead may have accepted the key before.
		return Key{}, badKey("idempotency_key_from_future", "the time of the key lies in the future", invoker.Unknown)
	}
	key.Time = keyTime
	return key, nil
}

func badKey(code, message string, ran invoker.Execution) *Fail {
	return &Fail{Status: http.StatusBadRequest, Code: code, Message: message, Ran: ran}
}

// ValidKey reports whether a text can be an idempotency key: printable ASCII without
// spaces, at most MaxKeyBytes.
func ValidKey(text string) bool {
	if text == "" || len(text) > MaxKeyBytes {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

func uuidTime(text string) (time.Time, bool) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != uuidTimeVersion {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}
