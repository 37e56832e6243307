package configurer

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"
)

const (
	page      = "../../docs/operators/settings.md"
	pageBegin = "<!-- settings -->\n"
	pageEnd   = "<!-- end of settings -->\n"
)

var rewritePage = flag.Bool("rewrite-page", false, "rewrite the table of the settings page")

// TestRead reads the settings of testdata/settings. A line is an argument, or a
// variable of the environment if it starts with HEMLOCKPIN_.
func TestRead(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, dat *datadriven.TestData) string {
		args := []string{"--host-id=host-0", "--data-center=colombo", "--platform=http://127.0.0.1:7000"}
		if dat.HasArg("bare") {
			args = nil
		}
		for _, lin := range strings.Split(dat.Input, "\n") {
			nam, val, ok := strings.Cut(lin, "=")
			if ok && strings.HasPrefix(nam, "HEMLOCKPIN_") {
				t.Setenv(nam, val)
				defer os.Unsetenv(nam)
			} else if lin != "" {
				args = append(args, lin)
			}
		}
		set, err := Read(args)
		var fas *FaultsError
		if errors.As(err, &fas) {
			return strings.Join(fas.Faults, "\n") + "\n"
		}
		require.NoError(t, err)
		return fmt.Sprintf("good: connections=%d read=%s level=%s\n", set.MaxConns, set.ReadTimeout, set.LogLevel)
	})
}

// TestPage keeps the page of settings equal to the settings.
func TestPage(t *testing.T) {
	doc, err := os.ReadFile(page)
	require.NoError(t, err)
	bef, res, ok := strings.Cut(string(doc), pageBegin)
	require.True(t, ok)
	old, aft, ok := strings.Cut(res, pageEnd)
	require.True(t, ok)
	if *rewritePage {
		require.NoError(t, os.WriteFile(page, []byte(bef+pageBegin+table()+pageEnd+aft), 0o644))
		return
	}
	require.Equal(t, table(), old, "run go test ./process/configurer -rewrite-page")
}

func table() string {
	var bui strings.Builder
	for _, gro := range NewParser(&Settings{}).Groups() {
		writeGroups(&bui, gro)
	}
	return bui.String()
}

func writeGroups(bui *strings.Builder, gro *flags.Group) {
	if opts := gro.Options(); len(opts) > 0 && gro.ShortDescription != "Help Options" {
		fmt.Fprintf(bui, "\n### %s\n\n| flag | environment | default | meaning |\n|---|---|---|---|\n", gro.ShortDescription)
		for _, opt := range opts {
			fmt.Fprintf(bui, "| `--%s` | %s | %s | %s |\n", opt.LongName, code(opt.EnvDefaultKey), code(strings.Join(opt.Default, ",")), opt.Description)
		}
	}
	for _, sub := range gro.Groups() {
		writeGroups(bui, sub)
	}
}

func code(txt string) string {
	if txt == "" {
		return ""
	}
	return "`" + txt + "`"
}

// TestEnvironment holds every option to the name of its variable.
func TestEnvironment(t *testing.T) {
	var num int
	for ind := range reflect.TypeFor[Settings]().NumField() {
		gro := reflect.TypeFor[Settings]().Field(ind)
		for sub := 0; gro.Anonymous && sub < gro.Type.NumField(); sub++ {
			tag := gro.Type.Field(sub).Tag
			want := "HEMLOCKPIN_" + strings.ToUpper(strings.ReplaceAll(tag.Get("long"), "-", "_"))
			require.Equal(t, strings.TrimSuffix(want, "S"), strings.TrimSuffix(tag.Get("env"), "S"))
			num++
		}
	}
	require.Positive(t, num)
}
