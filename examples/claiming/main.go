// Command claiming uses the claim journal as a library, without the daemon: two
// hosts claim a call under the same key, and only the first of them may run it.
package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/process/journaler"
)

// memory is an object store with conditional writes. In production the store is
// shared by all hosts and keeps its objects when they restart.
type memory struct {
	mu      sync.Mutex
	objects map[string]persister.Object
}

// Get returns an object, or ErrNotFound.
func (mem *memory) Get(_ context.Context, path string) (persister.Object, error) {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	obj, ok := mem.objects[path]
	if !ok {
		return persister.Object{}, persister.ErrNotFound
	}
	return obj, nil
}

// Put writes an object if its version has not changed since it was read, and
// returns the new version. Otherwise it returns ErrConflict.
func (mem *memory) Put(_ context.Context, obj persister.Object) (uint64, error) {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	if mem.objects[obj.Path].Version != obj.Version {
		return 0, persister.ErrConflict
	}
	obj.Version++
	mem.objects[obj.Path] = obj
	return obj.Version, nil
}

func main() {
	mem := &memory{objects: map[string]persister.Object{}}
	for _, host := range []string{"host-0", "host-1"} {
		jou := &journaler.Journal{Store: mem, Self: journaler.Member{ID: host}}
		res := jou.Commit(context.Background(), &messenger.ClaimCommit{
			Step: messenger.ClaimCommit_STEP_CLAIM, Key: "tailors/pickup-7", BodyDigest: []byte("tuesday"),
			Host: host, Nonce: "request-at-" + host, KeyTimeMs: time.Now().UnixMilli(),
		})
		if res.GetState() == messenger.ClaimResult_STATE_COMMITTED {
			fmt.Println(host, "runs the call")
			continue
		}
		fmt.Println(host, "must not run it:", res.GetState())
	}
}
