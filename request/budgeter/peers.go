package budgeter

import (
	"sync"
	"time"
)

// maxHeard bounds the hosts whose digests are kept. A host hears from a few
// random ones within MaxFleetAge.
const maxHeard = 32

// Peers keeps the newest digests of other hosts. Its zero value is ready.
type Peers struct {
	mu    sync.Mutex
	heard map[string]heard
}

type heard struct {
	Digest
	at time.Time
}

// Record takes the digest of a host and returns what is known of the fleet now.
func (pee *Peers) Record(host string, dig Digest, now time.Time) Fleet {
	pee.mu.Lock()
	defer pee.mu.Unlock()
	if pee.heard == nil {
		pee.heard = map[string]heard{}
	}
	pee.forget(now)
	if _, ok := pee.heard[host]; ok || len(pee.heard) < maxHeard {
		pee.heard[host] = heard{dig, now}
	}
	old := now
	digs := make([]Digest, 0, len(pee.heard))
	for _, hea := range pee.heard {
		digs = append(digs, hea.Digest)
		if hea.at.Before(old) {
			old = hea.at
		}
	}
	return NewFleet(digs, old)
}

// forget drops what counts no more. The caller holds the lock.
func (pee *Peers) forget(now time.Time) {
	for hos, hea := range pee.heard {
		if now.Sub(hea.at) >= MaxFleetAge/2 {
			delete(pee.heard, hos)
		}
	}
}
