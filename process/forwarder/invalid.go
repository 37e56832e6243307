package forwarder

import (
	"slices"
	"sync"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/follower"
	"hemlockpin/process/registrar"
)

// maxInvalidKeys bounds the invalid entries that are remembered, so that each is logged once. When
// it is reached, all are forgotten.
const maxInvalidKeys = 4096

// maxInvalidName is the number of bytes of an invalid name that are logged.
const maxInvalidName = 256

// invalidKey identifies what is wrong with an entry. What is the kind of entry; the name may be
// unknown.
type invalidKey struct{ what, name, problem string }

// invalidLog remembers the invalid entries that have been logged, by their revisions. Its zero value
// is ready to use.
type invalidLog struct {
	mu        sync.Mutex
	revisions map[invalidKey]registrar.Revision
}

// add remembers an invalid entry. It returns false if that is known.
func (log *invalidLog) add(key invalidKey, revision registrar.Revision) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	if old, ok := log.revisions[key]; ok && old == revision {
		return false
	}
	if log.revisions == nil || len(log.revisions) >= maxInvalidKeys {
		log.revisions = map[invalidKey]registrar.Revision{}
	}
	log.revisions[key] = revision
	return true
}

// reportInvalid logs and counts the invalid entries that are new or have changed.
func (fwd *Forwarder) reportInvalid(what string, invalid []follower.InvalidEntry) {
	for _, ent := range invalid {
		if !fwd.invalid.add(invalidKey{what, ent.Name, ent.Problem}, ent.Revision) {
			continue
		}
		fwd.scope.Tagged(map[string]string{"what": what}).Counter("invalid_entries").Inc(1)
		fwd.Log.Warn().Str("What", what).Str("Name", ent.Name).Uint64("Revision", ent.Revision.Number).Str("Problem", ent.Problem).
			Msg("invalid entry; leaving it out and keeping the others")
	}
}

// recordsOf returns the records of a peer's message that can be used, and reports the others,
// which are not passed on.
func (fwd *Forwarder) recordsOf(pus *messenger.EndpointsPush) []registrar.Endpoint {
	var invalid []follower.InvalidEntry
	ends := slices.DeleteFunc(registrar.FromMessage(pus), func(end registrar.Endpoint) bool {
		problem := end.Problem()
		if problem != "" {
			invalid = append(invalid, follower.InvalidEntry{Name: end.ID[:min(len(end.ID), maxInvalidName)], Revision: end.Revision, Problem: problem})
		}
		return problem != ""
	})
	fwd.reportInvalid("records of peers", invalid)
	return ends
}
