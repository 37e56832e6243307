package allocator

// Outstanding counts this host's requests on an endpoint.
func (all *Allocator) Outstanding(id string) int {
	all.mu.Lock()
	defer all.mu.Unlock()
	use := all.work[id]
	if use == nil {
		return 0
	}
	return use.requests
}
