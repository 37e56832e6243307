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
	settingsPage = "../../docs/operators/settings.md"
	tableBegin   = "<!-- settings -->\n"
	tableEnd     = "<!-- end of settings -->\n"
)

var rewritePage = flag.Bool("rewrite-page", false, "rewrite the table of the settings page")

// TestRead reads settings as in testdata/settings. All faults must be reported at once. An
// input line is an argument, or an environment variable if it starts with HEMLOCKPIN_.
// Without "bare", the arguments of a case begin with the required settings.
func TestRead(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, data *datadriven.TestData) string {
		args := []string{"--host-id=host-0", "--data-center=colombo", "--platform=http://127.0.0.1:7000"}
		if data.HasArg("bare") {
			args = nil
		}
		for _, line := range strings.Split(data.Input, "\n") {
			name, value, ok := strings.Cut(line, "=")
			if ok && strings.HasPrefix(name, "HEMLOCKPIN_") {
				t.Setenv(name, value)
				defer os.Unsetenv(name)
			} else if line != "" {
				args = append(args, line)
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

// TestSettingsPage checks that the table of the settings page matches the settings.
func TestSettingsPage(t *testing.T) {
	doc, err := os.ReadFile(settingsPage)
	require.NoError(t, err)
	before, rest, ok := strings.Cut(string(doc), tableBegin)
	require.True(t, ok)
	old, after, ok := strings.Cut(rest, tableEnd)
	require.True(t, ok)
	if *rewritePage {
		require.NoError(t, os.WriteFile(settingsPage, []byte(before+tableBegin+settingsTable()+tableEnd+after), 0o644))
		return
	}
	require.Equal(t, settingsTable(), old, "run go test ./process/configurer -rewrite-page")
}

func settingsTable() string {
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
			fmt.Fprintf(bui, "| `--%s` | %s | %s | %s |\n", opt.LongName, codeSpan(opt.EnvDefaultKey), codeSpan(strings.Join(opt.Default, ",")), opt.Description)
		}
	}
	for _, sub := range gro.Groups() {
		writeGroups(bui, sub)
	}
}

func codeSpan(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

// TestEnvironmentNames checks that the environment variable of each option is named like
// its flag: HEMLOCKPIN_ and the flag's name in capitals with underscores. Only a final S
// may differ, as for SEED_PEERS.
func TestEnvironmentNames(t *testing.T) {
	var count int
	for i := range reflect.TypeFor[Settings]().NumField() {
		gro := reflect.TypeFor[Settings]().Field(i)
		for j := 0; gro.Anonymous && j < gro.Type.NumField(); j++ {
			tag := gro.Type.Field(j).Tag
			want := "HEMLOCKPIN_" + strings.ToUpper(strings.ReplaceAll(tag.Get("long"), "-", "_"))
			require.Equal(t, strings.TrimSuffix(want, "S"), strings.TrimSuffix(tag.Get("env"), "S"))
			count++
		}
	}
	require.Positive(t, count)
}
