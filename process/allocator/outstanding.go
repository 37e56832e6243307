package allocator

// Outstanding returns the number of this host's outstanding requests on an endpoint.
func (all *Allocator) Outstanding(id string) int {
	all.mu.Lock()
	defer all.mu.Unlock()
	usa := all.usageByEndpoint[id]
	if usa == nil {
		return 0
	}
	return usa.requests
}
