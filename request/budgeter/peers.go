package budgeter

import (
	"sync"
	"time"
)

// maxPeers bounds the hosts whose digests are kept. A host receives the digests of a
// few random hosts within MaxFleetAge.
const maxPeers = 32

// Peers keeps the newest digests of other hosts. Its zero value is ready for use.
type Peers struct {
	mu      sync.Mutex
	digests map[string]peerDigest
}

type peerDigest struct {
	Digest
	receivedAt time.Time
}

// Record stores the digest of a host and returns the summary of all recent digests.
func (pee *Peers) Record(host string, dig Digest, now time.Time) Fleet {
	pee.mu.Lock()
	defer pee.mu.Unlock()
	if pee.digests == nil {
		pee.digests = map[string]peerDigest{}
	}
	pee.evict(now)
	if _, ok := pee.digests[host]; ok || len(pee.digests) < maxPeers {
		pee.digests[host] = peerDigest{dig, now}
	}
	oldest := now
	digests := make([]Digest, 0, len(pee.digests))
	for _, rec := range pee.digests {
		digests = append(digests, rec.Digest)
		if rec.receivedAt.Before(oldest) {
			oldest = rec.receivedAt
		}
	}
	return NewFleet(digests, oldest)
}

// evict removes digests older than half of MaxFleetAge. The caller holds the lock.
func (pee *Peers) evict(now time.Time) {
	for host, rec := range pee.digests {
		if now.Sub(rec.receivedAt) >= MaxFleetAge/2 {
			delete(pee.digests, host)
		}
	}
}
