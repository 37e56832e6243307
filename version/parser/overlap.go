package parser

import (
	"math"
	"strings"
)

// Contains reports whether every request that oth takes is also taken by mat.
func (mat Match) Contains(oth Match) bool {
	return containsText(mat.Model, oth.Model) &&
		containsText(mat.Team, oth.Team) &&
		containsText(mat.Host, oth.Host) &&
		containsPath(mat.PathPrefix, oth.PathPrefix) &&
		mat.MinPromptTokens <= oth.MinPromptTokens &&
		mat.upper() >= oth.upper()
}

// Overlaps reports whether a request exists that both take.
func (mat Match) Overlaps(oth Match) bool {
	return (containsText(mat.Model, oth.Model) || containsText(oth.Model, mat.Model)) &&
		(containsText(mat.Team, oth.Team) || containsText(oth.Team, mat.Team)) &&
		(containsText(mat.Host, oth.Host) || containsText(oth.Host, mat.Host)) &&
		(containsPath(mat.PathPrefix, oth.PathPrefix) || containsPath(oth.PathPrefix, mat.PathPrefix)) &&
		mat.MinPromptTokens <= oth.upper() &&
		oth.MinPromptTokens <= mat.upper()
}

// Ambiguous reports whether two matches overlap without one lying strictly
// within the other, so that no innermost one is defined.
func (mat Match) Ambiguous(oth Match) bool {
	if !mat.Overlaps(oth) {
		return false
	}
	return mat.Contains(oth) == oth.Contains(mat)
}

// forPrompts reports whether the match has bounds that only prompts meet.
func (mat Match) forPrompts() bool {
	return mat.Model != "" || mat.MinPromptTokens != 0 || mat.MaxPromptTokens != 0
}

func (mat Match) upper() int64 {
	if mat.MaxPromptTokens == 0 {
		return math.MaxInt64
	}
	return mat.MaxPromptTokens
}

func containsText(out, inn string) bool { return out == "" || out == inn }

func containsPath(out, inn string) bool {
	if out == "" || out == inn {
		return true
	}
	return strings.HasPrefix(inn, strings.TrimSuffix(out, "/")+"/")
}

// Matches reports whether a request with these properties matches.
func (mat Match) Matches(model, team, host, path string, promptTokens int64) bool {
	return containsText(mat.Model, model) &&
		containsText(mat.Team, team) &&
		containsText(mat.Host, host) &&
		containsPath(mat.PathPrefix, path) &&
		mat.MinPromptTokens <= promptTokens &&
		promptTokens <= mat.upper()
}
