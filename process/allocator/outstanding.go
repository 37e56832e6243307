package allocator

// Outstanding counts this host's requests on an endpoint.
func (all *Allocator) Outstanding(id string) int {
	all.mu.Lock()
	defer all.mu.Unlock()
	return all.work[id].requests
}
