package configurer

const (
	// heapShare is the share of the process's memory that the heap may reach before
	// garbage collection intensifies. The rest is for stacks, kernel buffers and the
	// program itself.
	heapShare = 0.7
	// bodyShare is the largest share of the process's memory that request bodies may
	// occupy. It is part of the heap.
	bodyShare = 0.4
	// headerShare is the largest share of the process's memory that the headers of requests
	// may occupy. It is part of the heap.
	headerShare = 0.125
	// reservedFiles is the number of file descriptors kept for files, listeners and
	// connections to other hosts.
	reservedFiles = 400
	// filesPerCall is the number of file descriptors of a call: one for the caller's
	// connection and one for the endpoint's connection.
	filesPerCall = 2

	// defaultPeerConns is the limit of the connections that other hosts open if the descriptors
	// are not known, peerFilesShare the part of the descriptors, one in so many, otherwise.
	defaultPeerConns = 4096
	peerFilesShare   = 4

	bytesPerMB = 1 << 20
	// programBytes is the memory that the program itself and what the collector frees late take,
	// also on a small host. minMemoryShare is the least share of the memory that is left then.
	programBytes   = 32 * bytesPerMB
	minMemoryShare = 0.25
)

// memory returns the memory in bytes of which the heap, bodies and headers take their shares; 0 if
// the memory of the process is not known. It is less than that of the process if the share that
// the heap leaves is too small for the program.
func (set Settings) memory() float64 {
	all := float64(set.MemoryMB * bytesPerMB)
	return max(minMemoryShare*all, min(all, (all-programBytes)/heapShare))
}

// HeapLimit returns the soft memory limit for the garbage collector, in bytes; 0 if the
// memory of the process is not known.
func (set Settings) HeapLimit() int64 { return int64(heapShare * set.memory()) }

// BodyMemoryLimit returns the limit of the memory for bodies of requests in progress, in
// bytes.
func (set Settings) BodyMemoryLimit() int64 {
	if set.MemoryMB == 0 {
		return set.MaxBodyMemory
	}
	return min(set.MaxBodyMemory, int64(bodyShare*set.memory()))
}

// HeaderMemoryLimit returns the limit of the memory for the headers of requests, in bytes.
func (set Settings) HeaderMemoryLimit() int64 {
	if set.MemoryMB == 0 {
		return set.HeaderMemory
	}
	return min(set.HeaderMemory, int64(headerShare*set.memory()))
}

// PeerConnLimit returns the limit of the connections that other hosts open.
func (set Settings) PeerConnLimit() int64 {
	if set.MaxFiles == 0 {
		return defaultPeerConns
	}
	return int64(max(1, set.MaxFiles/peerFilesShare))
}

// CallerConnLimit returns the limit of callers' connections.
func (set Settings) CallerConnLimit() int64 {
	if set.MaxFiles == 0 {
		return int64(set.MaxConns)
	}
	return int64(min(set.MaxConns, int(max(1, (set.MaxFiles-reservedFiles)/filesPerCall))))
}
