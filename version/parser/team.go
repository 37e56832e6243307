package parser

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Team is a group of callers with its keys and its share of the fleet's
// capacity.
type Team struct {
	Name string
	// KeyDigests are the hex SHA-256 digests of the team's bearer keys.
	KeyDigests []string
	// Share is the team's weight relative to the other teams when the fleet is
	// fully loaded; 0 means the default of 1.
	Share float64 `json:",omitempty"`
	// TokensPerSecond bounds the rate of the team's prompt and answer tokens
	// across the fleet; 0 means no bound.
	TokensPerSecond float64 `json:",omitempty"`
	// Priority replaces the route's priority for the team's forwarded calls; nil
	// means that the route's priority applies.
	Priority *int `json:",omitempty"`
}

// DigestKey returns the digest of a bearer key as KeyDigests lists it.
func DigestKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Defaults returns the team with defaults for empty fields.
func (tea Team) Defaults() Team {
	if tea.Share == 0 {
		tea.Share = 1
	}
	return tea
}

// Validate returns a message for every fault of the team, except for conflicts
// with other entries of the tables.
func (tea Team) Validate() []string {
	var faults []string
	if !validName(tea.Name) {
		faults = append(faults, fmt.Sprintf("team %q: Name must be 1 to 63 of a-z, 0-9 and -", tea.Name))
	}
	if len(tea.KeyDigests) == 0 {
		faults = append(faults, fmt.Sprintf("team %q: KeyDigests is empty", tea.Name))
	}
	for _, digest := range tea.KeyDigests {
		if buf, err := hex.DecodeString(digest); err != nil || len(buf) != sha256.Size {
			faults = append(faults, fmt.Sprintf("team %q: key digest %q is not a hex SHA-256", tea.Name, digest))
		}
	}
	if tea.Share < 0 || tea.TokensPerSecond < 0 {
		faults = append(faults, fmt.Sprintf("team %q: Share and TokensPerSecond must not be negative", tea.Name))
	}
	return faults
}
