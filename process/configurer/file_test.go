package configurer

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const file = `[Forwarding]
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

func write(t *testing.T, txt string) string {
	pat := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, os.WriteFile(pat, []byte(txt), 0o600))
	return pat
}

// TestFile reads settings from a file; flags and the environment go before it.
func TestFile(t *testing.T) {
	t.Setenv("HEMLOCKPIN_CONFIG", write(t, file))
	t.Setenv("HEMLOCKPIN_DATA_CENTER", "gampaha")
	set, err := Read([]string{"--host-id=front-2"})
	require.NoError(t, err)
	require.Equal(t, "front-2", set.HostID)
	require.Equal(t, "gampaha", set.DataCenter)
	require.Equal(t, InterfaceForward, set.Interface)
	require.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, set.SeedPeers)
}

func TestFileFaults(t *testing.T) {
	tests := []struct{ name, text, fault string }{
		{"unknown setting", "[Host]\nhostid = a\n", "hostid"},
		{"not a file of settings", "no settings", "no settings"},
		{"bad value", file + "heartbeat-interval = soon\n", ":13: "},
		{"bad interface", "[Forwarding]\ninterface = odd\n", "--interface"},
	}
	for _, tes := range tests {
		t.Run(tes.name, func(t *testing.T) {
			_, err := Read([]string{"--config=" + write(t, tes.text), "--host-id=a", "--data-center=b", "--platform=http://127.0.0.1:1"})
			var fas *FaultsError
			require.True(t, errors.As(err, &fas), err)
			require.Contains(t, err.Error(), tes.fault)
		})
	}
	_, err := Read([]string{"--config=/nonexistent/settings"})
	require.ErrorContains(t, err, "/nonexistent/settings")
}
