package configurer

const (
	// heapShare is the share of the process's memory that the heap may reach before
	// garbage collection intensifies. The rest is for stacks, kernel buffers and the
	// program itself.
	heapShare = 0.7
	// bodyShare is the largest share of the process's memory that request bodies may
	// occupy. It is part of the heap.
	bodyShare = 0.4
	// reservedFiles is the number of file descriptors kept for files, listeners and
	// connections to other hosts.
	reservedFiles = 400
	// filesPerCall is the number of file descriptors of a call: one for the caller's
	// connection and one for the endpoint's connection.
	filesPerCall = 2

	bytesPerMB = 1 << 20
)

// HeapLimit returns the soft memory limit for the garbage collector, in bytes; 0 if the
// memory of the process is not known.
func (set Settings) HeapLimit() int64 { return int64(heapShare * float64(set.MemoryMB*bytesPerMB)) }

// BodyMemoryLimit returns the limit of the memory for bodies of requests in progress, in
// bytes.
func (set Settings) BodyMemoryLimit() int64 {
	if set.MemoryMB == 0 {
		return set.MaxBodyMemory
	}
	return min(set.MaxBodyMemory, int64(bodyShare*float64(set.MemoryMB*bytesPerMB)))
}

// CallerConnLimit returns the limit of callers' connections.
func (set Settings) CallerConnLimit() int64 {
	if set.MaxFiles == 0 {
		return int64(set.MaxConns)
	}
	return int64(min(set.MaxConns, max(1, (set.MaxFiles-reservedFiles)/filesPerCall)))
}
