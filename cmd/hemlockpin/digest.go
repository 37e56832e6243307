package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"strings"

	"hemlockpin/version/parser"
)

const (
	digestShort = "print the digest of a bearer key"
	digestLong  = "Prints the digest to put into KeyDigests of a team. The key is read from standard input, so that it does not stand in the process list; --new makes one and prints it first."

	randomKeyBytes = 32
)

type digestCommand struct {
	*command `no-flag:"yes"`
	New      bool `long:"new" description:"make a new random key"`
}

// Execute prints the digest.
func (com *digestCommand) Execute([]string) error {
	key, err := com.readOrGenerateKey()
	if err != nil {
		return err
	}
	if com.JSON {
		return com.printJSON(struct {
			Key    string `json:",omitempty"`
			Digest string
		}{com.keyIfNew(key), parser.DigestKey(key)})
	}
	if com.New {
		fmt.Fprintln(com.out, key)
	}
	fmt.Fprintln(com.out, parser.DigestKey(key))
	return nil
}

// keyIfNew returns the key if it was generated; a key read from standard input is not
// printed.
func (com *digestCommand) keyIfNew(key string) string {
	if com.New {
		return key
	}
	return ""
}

// readOrGenerateKey generates a key with --new, or else reads it from standard input.
func (com *digestCommand) readOrGenerateKey() (string, error) {
	if com.New {
		buf := make([]byte, randomKeyBytes)
		_, err := rand.Read(buf)
		return base64.RawURLEncoding.EncodeToString(buf), err
	}
	buf, err := com.readFile("-")
	key := strings.TrimRight(string(buf), "\r\n")
	if err == nil && key == "" {
		return "", usageErrorf("no key on standard input")
	}
	return key, err
}
