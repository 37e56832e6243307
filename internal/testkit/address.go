package testkit

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports that are handed out. They lie below the range from which the system
// gives ports to outgoing connections, which could otherwise take one before the
// process that it is meant for listens.
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
		add := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if addresses[add] {
			continue
		}
		lis, err := net.Listen("tcp", add)
		if err != nil {
			continue
		}
		lis.Close()
		addresses[add] = true
		return add
	}
}
