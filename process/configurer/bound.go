package configurer

const (
	// heapShare is the share of the process's memory that the heap may reach before
	// garbage collection intensifies. Stacks, kernel buffers and the program itself take
	// the rest.
	heapShare = 0.7
	// bodyShare is the share of the process's memory for request bodies.
	bodyShare = 0.4
	// reservedFiles is the number of file descriptors kept for files, listeners and
	// connections to other hosts.
	reservedFiles = 400
	// filesPerCall is the number of file descriptors of a call: one for the connection to
	// the caller and one for that to the endpoint.
	filesPerCall = 2

	megabyte = 1 << 20
)

// HeapLimit returns the soft memory limit for the garbage collector, in bytes; 0 if the
// memory of the process is not known.
func (set Settings) HeapLimit() int64 { return int64(heapShare * float64(set.MemoryMB*megabyte)) }

// BodyMemoryLimit returns the limit of the memory for bodies of requests in progress, in bytes.
func (set Settings) BodyMemoryLimit() int64 {
	if set.MemoryMB == 0 {
		return set.MaxBodyMemory
	}
	return min(set.MaxBodyMemory, int64(bodyShare*float64(set.MemoryMB*megabyte)))
}

// CallerConnLimit returns the limit of callers' connections.
func (set Settings) CallerConnLimit() int64 {
	if set.MaxFiles == 0 {
		return int64(set.MaxConns)
	}
	return int64(min(set.MaxConns, max(1, (set.MaxFiles-reservedFiles)/filesPerCall)))
}
