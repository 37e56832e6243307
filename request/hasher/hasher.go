// Package hasher computes the chained block hashes that identify prefixes of prompts
// for engines and hosts, and the token counts that both use.
package hasher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the mean length of a token of prompt text, in bytes.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one block of the prefix cache.
	BlockTokens = 1024
	blockBytes  = BlockTokens * BytesPerToken
)

// Tokens estimates the number of tokens of a text, rounded up.
func Tokens(text string) int64 {
	return int64(len(text)+BytesPerToken-1) / BytesPerToken
}

// Blocks returns the chained hash of each complete block of a prompt.
func Blocks(text string) []uint64 {
	hashes := make([]uint64, 0, len(text)/blockBytes)
	var prefix uint64
	for offset := 0; offset+blockBytes <= len(text); offset += blockBytes {
		prefix = chain(prefix, text[offset:offset+blockBytes])
		hashes = append(hashes, prefix)
	}
	return hashes
}

func chain(prefix uint64, block string) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], prefix)
	_, _ = dig.Write(buf[:])
	_, _ = dig.WriteString(block)
	return dig.Sum64()
}
