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
	reservationMu sync.Mutex
	// reservations keep the sockets that reserve ports open.
	reservations []net.Listener
)

// FreeAddress returns a loopback address that nothing listens on and that was not returned
// before, by this or any other program that still runs. So another program does not take the
// port while the process that listens on it is being restarted.
func FreeAddress() string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if !reserve(port) {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		lis, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		lis.Close()
		return address
	}
}

// reserve reserves a port until the program ends. It returns false if the port is reserved
// already. The reservation is a Unix socket with an abstract name, which the kernel frees.
func reserve(port int) bool {
	lis, err := net.Listen("unix", reservationName(port))
	if err != nil {
		return false
	}
	reservationMu.Lock()
	defer reservationMu.Unlock()
	reservations = append(reservations, lis)
	return true
}

func reservationName(port int) string { return fmt.Sprintf("@hemlockpin-port-%d", port) }
