package configurer

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const fileText = `[Forwarding]
interface = forward
ready-listen = 127.0.0.1:18083

[Host]
host-id = front-1
data-center = colombo

[Platform and other hosts]
platform = http://127.0.0.1:7000
seed-peer = 127.0.0.1:1
seed-peer = 127.0.0.1:2
`

func writeFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestReadFile reads settings from a file. Flags and environment variables must override
// the file.
func TestReadFile(t *testing.T) {
	t.Setenv("HEMLOCKPIN_CONFIG", writeFile(t, fileText))
	t.Setenv("HEMLOCKPIN_DATA_CENTER", "gampaha")
	set, err := Read([]string{"--host-id=front-2"})
	require.NoError(t, err)
	require.Equal(t, "front-2", set.HostID)
	require.Equal(t, "gampaha", set.DataCenter)
	require.Equal(t, InterfaceForward, set.Interface)
	require.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, set.SeedPeers)
}

// TestFileFaults reads files with a fault. The fault must be reported with the line or the
// name of the setting.
func TestFileFaults(t *testing.T) {
	tests := []struct{ name, text, fault string }{
		{"unknown setting", "[Host]\nhostid = a\n", "hostid"},
		{"not a file of settings", "no settings", "no settings"},
		{"bad value", fileText + "heartbeat-interval = soon\n", ":13: "},
		{"bad interface", "[Forwarding]\ninterface = odd\n", "--interface"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Read([]string{"--config=" + writeFile(t, tt.text), "--host-id=a", "--data-center=b", "--platform=http://127.0.0.1:1"})
			var fas *FaultsError
			require.True(t, errors.As(err, &fas), err)
			require.Contains(t, err.Error(), tt.fault)
		})
	}
	_, err := Read([]string{"--config=/nonexistent/settings"})
	require.ErrorContains(t, err, "/nonexistent/settings")
}

// TestOptionalSettings reads settings that the platform's template leaves empty where a deployment
// has no such bound, and those that it fills in.
func TestOptionalSettings(t *testing.T) {
	for values, want := range map[string]struct {
		within         time.Duration
		overage, slack float64
	}{
		"cold-overage =\ncold-slack = \nevacuate-within =\n":           {},
		"cold-overage = 1.5\ncold-slack = 5\nevacuate-within = 5000\n": {5 * time.Second, 1.5, 5},
		"evacuate-within = 4s\n":                                       {within: 4 * time.Second},
	} {
		text := strings.Replace(fileText, "[Forwarding]\n", "[Forwarding]\n"+values, 1)
		set, err := Read([]string{"--config=" + writeFile(t, text)})
		require.NoError(t, err, values)
		require.Equal(t, want.within, time.Duration(set.EvacuateWithin))
		require.Equal(t, want.overage, float64(set.ColdOverage))
		require.Equal(t, want.slack, float64(set.ColdSlack))
	}
	for _, value := range []string{"cold-overage = 0.5", "cold-slack = many", "evacuate-within = soon", "evacuate-within = -1s"} {
		_, err := Read([]string{"--config=" + writeFile(t, strings.Replace(fileText, "[Forwarding]\n", "[Forwarding]\n"+value+"\n", 1))})
		require.Error(t, err, value)
	}
}

// TestNumberForms guards against hosts that don't start because the platform writes a whole number of
// their settings with a point or an exponent.
func TestNumberForms(t *testing.T) {
	for _, values := range []string{
		"memory-mb = 200\nmax-files = 2000\n[Forwarding]\nevacuate-within = 5000\n",
		"memory-mb = 200.0\nmax-files = 2000.0\n[Forwarding]\nevacuate-within = 5000.0\n",
		"memory-mb = 2e2\nmax-files = 2.0E+3\n[Forwarding]\nevacuate-within = 5e3\n",
	} {
		set, err := Read([]string{"--config=" + writeFile(t, strings.Replace(fileText, "[Host]\n", "[Host]\n"+values+"\n[Host]\n", 1))})
		require.NoError(t, err, values)
		require.EqualValues(t, 200, set.MemoryMB)
		require.EqualValues(t, 2000, set.MaxFiles)
		require.Equal(t, 5*time.Second, time.Duration(set.EvacuateWithin))
	}
	_, err := Read([]string{"--config=" + writeFile(t, strings.Replace(fileText, "[Host]\n", "[Host]\nmemory-mb = 206.5\n", 1))})
	require.ErrorContains(t, err, `"206.5" is not a whole number`)
}
