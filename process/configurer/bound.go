package configurer

const (
	// heapShare is the part of the process's memory at which the collector works
	// harder; stacks, buffers of the kernel and the program take the rest.
	heapShare = 0.7
	// bodyShare is the part of the process's memory for bodies of requests.
	bodyShare = 0.4
	// ownFiles are the descriptors for files, listeners and other hosts.
	ownFiles = 400
	// filesPerCall are those of a call: its caller's and its endpoint's.
	filesPerCall = 2

	megabyte = 1 << 20
)

// HeapBytes is the size of the heap that the collector is to keep to; 0 if the
// memory is not known.
func (set Settings) HeapBytes() int64 { return int64(heapShare * float64(set.MemoryMB*megabyte)) }

// BodyBytes is the memory for bodies of requests in progress.
func (set Settings) BodyBytes() int64 {
	if set.MemoryMB == 0 {
		return set.MaxBodyMemory
	}
	return min(set.MaxBodyMemory, int64(bodyShare*float64(set.MemoryMB*megabyte)))
}

// CallerConns is the limit of callers' connections.
func (set Settings) CallerConns() int64 {
	if set.MaxFiles == 0 {
		return int64(set.MaxConns)
	}
	return int64(min(set.MaxConns, max(1, (set.MaxFiles-ownFiles)/filesPerCall)))
}
