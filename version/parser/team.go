package parser

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Team is a caller with its keys and its share of the fleet.
type Team struct {
	Name string
	// KeyDigests are the hex SHA-256 digests of the team's bearer keys.
	KeyDigests []string
	// Share weighs the team against others when the fleet is full.
	Share float64 `json:",omitempty"`
	// TokensPerSecond bounds the team's prompt and answer tokens over the
	// fleet; 0 stands for no bound.
	TokensPerSecond float64 `json:",omitempty"`
	// Priority takes the place of the routes' priority for the team's forwarded
	// calls; nil leaves that in force.
	Priority *int `json:",omitempty"`
}

// DigestKey returns the digest under which a bearer key is kept.
func DigestKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Defaults fills in the fields left empty.
func (tea Team) Defaults() Team {
	if tea.Share == 0 {
		tea.Share = 1
	}
	return tea
}

// Validate lists every fault of the team by itself.
func (tea Team) Validate() []string {
	var fas []string
	if !validName(tea.Name) {
		fas = append(fas, fmt.Sprintf("team %q: Name must be 1 to 63 of a-z, 0-9 and -", tea.Name))
	}
	if len(tea.KeyDigests) == 0 {
		fas = append(fas, fmt.Sprintf("team %q: KeyDigests is empty", tea.Name))
	}
	for _, dig := range tea.KeyDigests {
		if buf, err := hex.DecodeString(dig); err != nil || len(buf) != sha256.Size {
			fas = append(fas, fmt.Sprintf("team %q: key digest %q is not a hex SHA-256", tea.Name, dig))
		}
	}
	if tea.Share < 0 || tea.TokensPerSecond < 0 {
		fas = append(fas, fmt.Sprintf("team %q: Share and TokensPerSecond must not be negative", tea.Name))
	}
	return fas
}
