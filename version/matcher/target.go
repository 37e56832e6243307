package matcher

import (
	"net"
	"path"
	"regexp"
	"strings"

	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
)

// ErrAmbiguousPath means that an endpoint may read the path of a call as one of another route.
var ErrAmbiguousPath = eris.New("matcher: servers may read the path as one of another route")

var (
	// unreservedEscape matches the escapes of characters that mean the same without an escape,
	// by RFC 3986.
	unreservedEscape = regexp.MustCompile(`(?i)%(2[de]|3[0-9]|4[1-9a-f]|5[0-9af]|6[1-9a-f]|7[0-9ae])`)
	// escapedBackslash and escapedSlash match separators as data of a segment.
	escapedBackslash = regexp.MustCompile(`(?i)%5c`)
	escapedSlash     = regexp.MustCompile(`(?i)%2f`)
	// pathParameter matches the parameters of a segment, which some servers ignore.
	pathParameter = regexp.MustCompile(`;[^/]*`)
)

// RouteTarget finds the route of a call by its target, the path and the query that are sent to
// the endpoint; que.Path is not used. It returns ErrAmbiguousPath if a server that resolves the
// path further would find another route, or if a slash that is escaped hides a path that needs a
// key.
func (mat *Matcher) RouteTarget(que Query, target string) (parser.Route, parser.Pool, bool, error) {
	que.Path, _, _ = strings.Cut(target, "?")
	rou, poo, ok := mat.Route(que)
	if strings.Contains(que.Path, "#") {
		return rou, poo, ok, ErrAmbiguousPath
	}
	if !ok {
		return rou, poo, false, nil
	}
	unescaped := escapedSlash.ReplaceAllString(que.Path, "/")
	que.Path = resolve(que.Path)
	if same, _, found := mat.Route(que); !found || same.Name != rou.Name {
		return rou, poo, ok, ErrAmbiguousPath
	}
	que.Path = resolve(unescaped)
	inner, _, found := mat.Route(que)
	hidesKey := rou.Public && found && !inner.Public
	leaves := hasDots(unescaped) && (!found || inner.Name != rou.Name)
	if hidesKey || leaves {
		return rou, poo, ok, ErrAmbiguousPath
	}
	return rou, poo, ok, nil
}

// resolve returns the path as a server may read it: without needless escapes, path parameters,
// empty segments and dots, and with backslashes as separators.
func resolve(raw string) string {
	resolved := strings.ReplaceAll(escapedBackslash.ReplaceAllString(raw, `\`), `\`, "/")
	resolved = pathParameter.ReplaceAllString(decodeUnreserved(resolved), "")
	cleaned := path.Clean("/" + resolved)
	if cleaned != "/" && endsSegment(resolved) {
		cleaned += "/"
	}
	return cleaned
}

// endsSegment reports whether a path ends with a slash or with dots, which stand for a folder.
func endsSegment(raw string) bool {
	return strings.HasSuffix(raw, "/") || strings.HasSuffix(raw, "/.") || strings.HasSuffix(raw, "/..")
}

// hasDots reports whether a path has a segment of dots.
func hasDots(raw string) bool {
	for segment := range strings.SplitSeq(pathParameter.ReplaceAllString(decodeUnreserved(raw), ""), "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// decodeUnreserved replaces the escapes of unreserved characters.
func decodeUnreserved(raw string) string {
	return unreservedEscape.ReplaceAllStringFunc(raw, func(escape string) string {
		return string(rune(hexDigit(escape[1])<<4 | hexDigit(escape[2])))
	})
}

func hexDigit(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c | 0x20 - 'a' + 10
}

// HostName returns the name of a Host header, without a port and in lower case.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
