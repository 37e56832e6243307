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

	uuidTimeVersion = 7
)

// Key is the idempotency key of a call. It is an immutable value.
//
// A key carries its time, so that a repeat that arrives when the claim is no
// longer kept is recognized as old. Its time is part of its identity: the same
// text with another time is refused as reused while the claim is kept.
type Key struct {
	Text string
	Time time.Time
	// FromCaller says that the caller supplied the key, so that an earlier call may
	// have used it.
	FromCaller bool
}

// NewKey makes the key of a call whose caller supplied none.
func NewKey(now time.Time) Key {
	return Key{Text: uuid.Must(uuid.NewV7()).String(), Time: now}
}

// ParseKey reads the key and the time that a caller supplied. The time of a
// UUID of version 7 is its own; any other key needs the time as RFC 3339. It
// returns a Fail for a key that can't be accepted. The call is refused before
// anything runs, but an earlier call may have used the key in another form.
func ParseKey(txt, stamp string, now time.Time, skew time.Duration) (Key, *Fail) {
	if !ValidKey(txt) {
		return Key{}, badKey("idempotency_key_invalid", "the key must be 1 to 200 printable ASCII characters", invoker.NotRun)
	}
	key := Key{Text: txt, FromCaller: true}
	tim, ok := uuidTime(txt)
	if !ok {
		if stamp == "" {
			return Key{}, badKey("idempotency_key_time_missing", "the key must be a UUID of version 7 or come with Idempotency-Key-Time", invoker.Unknown)
		}
		var err error
		tim, err = time.Parse(time.RFC3339, stamp)
		if err != nil {
			return Key{}, badKey("idempotency_key_time_invalid", "Idempotency-Key-Time must be a time as in RFC 3339", invoker.Unknown)
		}
	}
	if tim.After(now.Add(skew)) {
		// A host whose clock is ahead may have accepted the key.
		return Key{}, badKey("idempotency_key_from_future", "the time of the key lies in the future", invoker.Unknown)
	}
	key.Time = tim
	return key, nil
}

func badKey(code, message string, ran invoker.Execution) *Fail {
	return &Fail{Status: http.StatusBadRequest, Code: code, Message: message, Ran: ran}
}

// ValidKey reports whether a text can be an idempotency key: printable ASCII
// without spaces, at most MaxKeyBytes.
func ValidKey(txt string) bool {
	if txt == "" || len(txt) > MaxKeyBytes {
		return false
	}
	for ind := range len(txt) {
		if txt[ind] <= ' ' || txt[ind] > '~' {
			return false
		}
	}
	return true
}

func uuidTime(txt string) (time.Time, bool) {
	uid, err := uuid.Parse(txt)
	if err != nil || uid.Version() != uuidTimeVersion {
		return time.Time{}, false
	}
	var ms int64
	for _, byt := range uid[:6] {
		ms = ms<<8 | int64(byt)
	}
	return time.UnixMilli(ms), true
}
