package watcher

import (
	"hemlockpin/request/placer"
)

// Endpoint returns the view of one endpoint; its ID is empty if the endpoint is not
// listed.
func (wat *Watcher) Endpoint(id string) placer.Endpoint {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	for _, ent := range wat.entries {
		if ent.ID == id {
			return wat.endpoint(ent)
		}
	}
	return placer.Endpoint{}
}
