package main

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"hemlockpin/connection/messenger"
)

const (
	versionShort = "print the version of this build"
	versionLong  = "Prints the version of this build and of the peer protocol that its hosts speak."
)

type versionCommand struct {
	*command `no-flag:"yes"`
}

// Execute prints the version.
func (com *versionCommand) Execute([]string) error {
	version := "unknown"
	if inf, ok := debug.ReadBuildInfo(); ok {
		version = inf.Main.Version
	}
	if com.JSON {
		return com.printJSON(struct {
			Version, Go  string
			PeerProtocol int
		}{version, runtime.Version(), messenger.ProtocolVersion})
	}
	fmt.Fprintf(com.out, "hemlockpin %s, %s, peer protocol %d\n", version, runtime.Version(), messenger.ProtocolVersion)
	return nil
}
