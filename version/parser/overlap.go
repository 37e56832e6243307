package parser

import (
	"math"
	"strings"
)

// Contains reports whether mat matches every request that other matches.
func (mat Match) Contains(other Match) bool {
	return textContains(mat.Model, other.Model) &&
		textContains(mat.Team, other.Team) &&
		hostContains(mat.Host, other.Host) &&
		pathContains(mat.PathPrefix, other.PathPrefix) &&
		mat.MinPromptTokens <= other.MinPromptTokens &&
		mat.maxTokens() >= other.maxTokens()
}

// Overlaps reports whether some request matches both mat and other.
func (mat Match) Overlaps(other Match) bool {
	return (textContains(mat.Model, other.Model) || textContains(other.Model, mat.Model)) &&
		(textContains(mat.Team, other.Team) || textContains(other.Team, mat.Team)) &&
		(hostContains(mat.Host, other.Host) || hostContains(other.Host, mat.Host)) &&
		(pathContains(mat.PathPrefix, other.PathPrefix) || pathContains(other.PathPrefix, mat.PathPrefix)) &&
		mat.MinPromptTokens <= other.maxTokens() &&
		other.MinPromptTokens <= mat.maxTokens()
}

// Ambiguous reports whether mat and other overlap and either are equal or neither
// contains the other. For a request that matches both, the innermost match is then
// undefined.
func (mat Match) Ambiguous(other Match) bool {
	if !mat.Overlaps(other) {
		return false
	}
	return mat.Contains(other) == other.Contains(mat)
}

// isEngineOnly reports whether the match restricts the model or the length of the
// prompt. Calls to plain services have neither a model nor a prompt.
func (mat Match) isEngineOnly() bool {
	return mat.Model != "" || mat.MinPromptTokens != 0 || mat.MaxPromptTokens != 0
}

// maxTokens returns the greatest prompt length in tokens that matches.
func (mat Match) maxTokens() int64 {
	if mat.MaxPromptTokens == 0 {
		return math.MaxInt64
	}
	return mat.MaxPromptTokens
}

// textContains reports whether outer is empty, which means any, or equal to inner.
func textContains(outer, inner string) bool { return outer == "" || outer == inner }

// hostContains reports whether outer is empty, which means any, or names the same host as inner.
func hostContains(outer, inner string) bool { return outer == "" || strings.EqualFold(outer, inner) }

// pathContains reports whether inner is outer or a path below it, in whole segments.
// An empty outer contains every path.
func pathContains(outer, inner string) bool {
	if outer == "" || outer == inner {
		return true
	}
	return strings.HasPrefix(inner, strings.TrimSuffix(outer, "/")+"/")
}

// Matches reports whether a request with the given model, team, host, path and prompt
// length in tokens matches mat.
func (mat Match) Matches(model, team, host, path string, promptTokens int64) bool {
	return textContains(mat.Model, model) &&
		textContains(mat.Team, team) &&
		hostContains(mat.Host, host) &&
		pathContains(mat.PathPrefix, path) &&
		mat.MinPromptTokens <= promptTokens &&
		promptTokens <= mat.maxTokens()
}
