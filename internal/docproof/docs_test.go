// Package docproof checks that the documentation agrees with the code: examples,
// metrics, error codes, commands and links.
package docproof

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"hemlockpin/internal/testkit"

	"github.com/stretchr/testify/require"
)

const root = "../.."

func read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, name))
	require.NoError(t, err)
	return string(text)
}

func pages(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/operators/*.md"} {
		names, err := filepath.Glob(filepath.Join(root, pattern))
		require.NoError(t, err)
		for _, name := range names {
			rel, err := filepath.Rel(root, name)
			require.NoError(t, err)
			out = append(out, rel)
		}
	}
	return out
}

// source returns the code of the product, without tests, as one string.
func source(t *testing.T) string {
	t.Helper()
	var bui strings.Builder
	for _, dir := range []string{"cmd", "connection", "operator", "process", "request", "version"} {
		require.NoError(t, filepath.WalkDir(filepath.Join(root, dir), func(name string, entry os.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
				return err
			}
			text, err := os.ReadFile(name)
			bui.Write(text)
			return err
		}))
	}
	return bui.String()
}

// TestExamples checks that docs/LIBRARY.md quotes the compiled examples word for
// word.
func TestExamples(t *testing.T) {
	page := read(t, "docs/LIBRARY.md")
	for _, name := range []string{"examples/placing/main.go", "examples/claiming/main.go"} {
		require.Contains(t, page, "```go\n"+read(t, name)+"```\n", name)
	}
}

// TestMetrics checks that every metric named on a page occurs in the code.
func TestMetrics(t *testing.T) {
	code := source(t)
	re := regexp.MustCompile("`hemlockpin_([a-z_]+)")
	for _, page := range pages(t) {
		for _, match := range re.FindAllStringSubmatch(read(t, page), -1) {
			require.Contains(t, code, `"`+match[1]+`"`, "%s names metric %s", page, match[1])
		}
	}
}

// TestCodes checks that every error code in docs/CALLERS.md occurs in the code.
func TestCodes(t *testing.T) {
	code := source(t)
	_, errors, ok := strings.Cut(read(t, "docs/CALLERS.md"), "## Errors")
	require.True(t, ok)
	re := regexp.MustCompile("`([a-z]+(?:_[a-z]+)+)`")
	for _, match := range re.FindAllStringSubmatch(errors, -1) {
		require.Contains(t, code, `"`+match[1]+`"`, match[1])
	}
}

// TestCommands checks that hemlockpin has every command shown on a page.
func TestCommands(t *testing.T) {
	bin, err := testkit.Build()
	require.NoError(t, err)
	re := regexp.MustCompile(`(?m)^    hemlockpin ((?:routes |pools |teams )?[a-z]+)`)
	done := map[string]bool{}
	for _, page := range pages(t) {
		for _, match := range re.FindAllStringSubmatch(read(t, page), -1) {
			if done[match[1]] {
				continue
			}
			done[match[1]] = true
			out, err := exec.Command(filepath.Join(bin, "hemlockpin"), append(strings.Fields(match[1]), "--help")...).CombinedOutput()
			require.NoError(t, err, "%s shows hemlockpin %s: %s", page, match[1], out)
		}
	}
	require.NotEmpty(t, done)
}

// TestLinks checks that every file to which a page links exists.
func TestLinks(t *testing.T) {
	re := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	for _, page := range pages(t) {
		for _, match := range re.FindAllStringSubmatch(read(t, page), -1) {
			_, err := os.Stat(filepath.Join(root, filepath.Dir(page), match[1]))
			require.NoError(t, err, page)
		}
	}
}
