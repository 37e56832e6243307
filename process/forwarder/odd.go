package forwarder

import (
	"slices"
	"sync"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/follower"
	"hemlockpin/process/registrar"
)

// maxOddKeys bounds the odd entries that are remembered, so that each is logged once. When
// it is reached, all are forgotten.
const maxOddKeys = 4096

// maxOddName is the number of bytes of an odd name that are logged.
const maxOddName = 256

// oddKey identifies what is wrong with an entry. What is the kind of entry; the name may be
// unknown.
type oddKey struct{ what, name, problem string }

// oddLog remembers the odd entries that have been logged, by their revisions. Its zero value
// is ready to use.
type oddLog struct {
	mu        sync.Mutex
	revisions map[oddKey]uint64
}

// add remembers an odd entry. It returns false if that is known.
func (log *oddLog) add(key oddKey, revision uint64) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	if old, ok := log.revisions[key]; ok && old == revision {
		return false
	}
	if log.revisions == nil || len(log.revisions) >= maxOddKeys {
		log.revisions = map[oddKey]uint64{}
	}
	log.revisions[key] = revision
	return true
}

// reportOdd logs and counts the odd entries that are new or have changed.
func (fwd *Forwarder) reportOdd(what string, odd []follower.OddEntry) {
	for _, ent := range odd {
		if !fwd.odd.add(oddKey{what, ent.Name, ent.Problem}, ent.Revision) {
			continue
		}
		fwd.scope.Tagged(map[string]string{"what": what}).Counter("odd_entries").Inc(1)
		fwd.Log.Warn().Str("What", what).Str("Name", ent.Name).Uint64("Revision", ent.Revision).Str("Problem", ent.Problem).
			Msg("odd entry; leaving it out, the others hold")
	}
}

// recordsOf returns the records of a peer's message that can be used, and reports the others,
// which are not passed on.
func (fwd *Forwarder) recordsOf(pus *messenger.EndpointsPush) []registrar.Endpoint {
	var odd []follower.OddEntry
	ends := slices.DeleteFunc(registrar.FromMessage(pus), func(end registrar.Endpoint) bool {
		problem := end.Problem()
		if problem != "" {
			odd = append(odd, follower.OddEntry{Name: end.ID[:min(len(end.ID), maxOddName)], Revision: end.Revision, Problem: problem})
		}
		return problem != ""
	})
	fwd.reportOdd("records of peers", odd)
	return ends
}
