// Package docproof keeps the pages equal to the program where they would drift.
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
	txt, err := os.ReadFile(filepath.Join(root, name))
	require.NoError(t, err)
	return string(txt)
}

func pages(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, pat := range []string{"*.md", "docs/*.md", "docs/operators/*.md"} {
		nams, err := filepath.Glob(filepath.Join(root, pat))
		require.NoError(t, err)
		for _, nam := range nams {
			rel, err := filepath.Rel(root, nam)
			require.NoError(t, err)
			out = append(out, rel)
		}
	}
	return out
}

// source joins the product's code.
func source(t *testing.T) string {
	t.Helper()
	var bui strings.Builder
	for _, dir := range []string{"cmd", "connection", "operator", "process", "request", "version"} {
		require.NoError(t, filepath.WalkDir(filepath.Join(root, dir), func(nam string, ent os.DirEntry, err error) error {
			if err != nil || ent.IsDir() || !strings.HasSuffix(nam, ".go") || strings.HasSuffix(nam, "_test.go") {
				return err
			}
			txt, err := os.ReadFile(nam)
			bui.Write(txt)
			return err
		}))
	}
	return bui.String()
}

// TestExamples holds the examples of the library's page to the compiled ones.
func TestExamples(t *testing.T) {
	pag := read(t, "docs/LIBRARY.md")
	for _, nam := range []string{"examples/placing/main.go", "examples/claiming/main.go"} {
		require.Contains(t, pag, "```go\n"+read(t, nam)+"```\n", nam)
	}
}

// TestMetrics looks for every metric that a page names.
func TestMetrics(t *testing.T) {
	src := source(t)
	exp := regexp.MustCompile("`hemlockpin_([a-z_]+)")
	for _, pag := range pages(t) {
		for _, mat := range exp.FindAllStringSubmatch(read(t, pag), -1) {
			require.Contains(t, src, `"`+mat[1]+`"`, "%s names metric %s", pag, mat[1])
		}
	}
}

// TestCodes looks for every error code of the callers' page.
func TestCodes(t *testing.T) {
	src := source(t)
	_, tab, ok := strings.Cut(read(t, "docs/CALLERS.md"), "## Errors")
	require.True(t, ok)
	exp := regexp.MustCompile("`([a-z]+(?:_[a-z]+)+)`")
	for _, mat := range exp.FindAllStringSubmatch(tab, -1) {
		require.Contains(t, src, `"`+mat[1]+`"`, mat[1])
	}
}

// TestCommands asks hemlockpin for the help of every command that a page shows.
func TestCommands(t *testing.T) {
	bin, err := testkit.Build()
	require.NoError(t, err)
	exp := regexp.MustCompile(`(?m)^    hemlockpin ((?:routes |pools |teams )?[a-z]+)`)
	done := map[string]bool{}
	for _, pag := range pages(t) {
		for _, mat := range exp.FindAllStringSubmatch(read(t, pag), -1) {
			if done[mat[1]] {
				continue
			}
			done[mat[1]] = true
			out, err := exec.Command(filepath.Join(bin, "hemlockpin"), append(strings.Fields(mat[1]), "--help")...).CombinedOutput()
			require.NoError(t, err, "%s shows hemlockpin %s: %s", pag, mat[1], out)
		}
	}
	require.NotEmpty(t, done)
}

// TestLinks looks for every file that a page links to.
func TestLinks(t *testing.T) {
	exp := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	for _, pag := range pages(t) {
		for _, mat := range exp.FindAllStringSubmatch(read(t, pag), -1) {
			_, err := os.Stat(filepath.Join(root, filepath.Dir(pag), mat[1]))
			require.NoError(t, err, pag)
		}
	}
}
