package testkit

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Range of the ports that FreeAddress returns. It is below the system's range of
// ephemeral ports; otherwise an outgoing connection could occupy a port before the
// process that is to listen on it has started.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

var (
	addressMu sync.Mutex
	addresses = map[string]bool{}
)

// FreeAddress returns a loopback address that nothing listens on and that was
// not returned before.
func FreeAddress() string {
	addressMu.Lock()
	defer addressMu.Unlock()
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if addresses[address] {
			continue
		}
		lis, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		lis.Close()
		addresses[address] = true
		return address
	}
}
