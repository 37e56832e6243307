package registrar

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
	"unicode"
)

const (
	// maxTextBytes bounds the texts of a record, since each is sent to all peers.
	maxTextBytes = 256
	// maxSlots bounds the slots, which messages hold in 32 bits.
	maxSlots = math.MaxInt32
)

// maxStarted is the latest start time, since encoding/json writes no year with five digits.
var maxStarted = time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC)

// Problem returns why a record can't be used, or an empty string if it can. Of the record of
// a removed entry only ID and revision have to be sound.
func (end Endpoint) Problem() string {
	switch {
	case !isHeaderValue(end.ID):
		return "the ID is missing, too long or can't be sent in a header"
	case !end.Revision.InRange():
		return fmt.Sprintf("revision %d of era %d is out of range", end.Revision.Number, end.Revision.Era)
	case !isShortText(end.Service), !isShortText(end.DataCenter):
		return "the service or the zone is too long or no text"
	case end.Slots < 0, end.Slots > maxSlots:
		return fmt.Sprintf("slots %d is out of range", end.Slots)
	case end.Started.After(maxStarted), !end.Started.IsZero() && end.Started.UnixMilli() <= 0:
		return fmt.Sprintf("start time %d ms is out of range", end.Started.UnixMilli())
	case end.Gone && end.Address == "":
		return ""
	case end.Service == "":
		return "the service is missing"
	default:
		return addressProblem(end.Address)
	}
}

func addressProblem(address string) string {
	if len(address) > maxTextBytes {
		return "the address is too long"
	}
	add, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return err.Error()
	case add.Port() == 0, add.Addr().IsUnspecified(), add.Addr().IsMulticast(), add.Addr().Zone() != "":
		return fmt.Sprintf("address %q is that of no server", address)
	default:
		return ""
	}
}

// isShortText reports whether a text is short enough for messages to peers, and printable.
func isShortText(text string) bool {
	return len(text) <= maxTextBytes && !strings.ContainsFunc(text, func(r rune) bool { return r == unicode.ReplacementChar || !unicode.IsPrint(r) })
}

// isHeaderValue reports whether a text is short, not empty and can be sent in a header.
func isHeaderValue(text string) bool {
	return text != "" && len(text) <= maxTextBytes && !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}
