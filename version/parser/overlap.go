package parser

import (
	"math"
	"strings"
)

// Contains reports whether mat matches every request that other matches.
func (mat Match) Contains(other Match) bool {
	return textContains(mat.Model, other.Model) &&
		textContains(mat.Team, other.Team) &&
		textContains(mat.Host, other.Host) &&
		pathContains(mat.PathPrefix, other.PathPrefix) &&
		mat.MinPromptTokens <= other.MinPromptTokens &&
		mat.maxTokens() >= other.maxTokens()
}

// Overlaps reports whether a request can exist that both match.
func (mat Match) Overlaps(other Match) bool {
	return (textContains(mat.Model, other.Model) || textContains(other.Model, mat.Model)) &&
		(textContains(mat.Team, other.Team) || textContains(other.Team, mat.Team)) &&
		(textContains(mat.Host, other.Host) || textContains(other.Host, mat.Host)) &&
		(pathContains(mat.PathPrefix, other.PathPrefix) || pathContains(other.PathPrefix, mat.PathPrefix)) &&
		mat.MinPromptTokens <= other.maxTokens() &&
		other.MinPromptTokens <= mat.maxTokens()
}

// Ambiguous reports whether two matches overlap and neither strictly contains the
// other. The innermost match of a request that both match is then undefined.
func (mat Match) Ambiguous(other Match) bool {
	if !mat.Overlaps(other) {
		return false
	}
	return mat.Contains(other) == other.Contains(mat)
}

// hasPromptBounds reports whether the match restricts the model or the length of
// the prompt, which calls to plain services do not have.
func (mat Match) hasPromptBounds() bool {
	return mat.Model != "" || mat.MinPromptTokens != 0 || mat.MaxPromptTokens != 0
}

// maxTokens returns the greatest prompt length in tokens that matches.
func (mat Match) maxTokens() int64 {
	if mat.MaxPromptTokens == 0 {
		return math.MaxInt64
	}
	return mat.MaxPromptTokens
}

func textContains(outer, inner string) bool { return outer == "" || outer == inner }

func pathContains(outer, inner string) bool {
	if outer == "" || outer == inner {
		return true
	}
	return strings.HasPrefix(inner, strings.TrimSuffix(outer, "/")+"/")
}

// Matches reports whether a request with these properties matches.
func (mat Match) Matches(model, team, host, path string, promptTokens int64) bool {
	return textContains(mat.Model, model) &&
		textContains(mat.Team, team) &&
		textContains(mat.Host, host) &&
		pathContains(mat.PathPrefix, path) &&
		mat.MinPromptTokens <= promptTokens &&
		promptTokens <= mat.maxTokens()
}
