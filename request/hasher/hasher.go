// Package hasher computes the chained block hashes by which engines and hosts
// name prefixes of prompts, and the token counts that both use.
package hasher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the mean length of a token of prompt text.
	BytesPerToken = 4
	// BlockTokens is the number of tokens of one block of the prefix cache.
	BlockTokens = 1024
	blockBytes  = BlockTokens * BytesPerToken
)

// Tokens estimates the tokens of a text, rounded up.
func Tokens(txt string) int64 {
	return int64(len(txt)+BytesPerToken-1) / BytesPerToken
}

// Blocks returns the chained hash of each whole block of a prompt.
func Blocks(txt string) []uint64 {
	has := make([]uint64, 0, len(txt)/blockBytes)
	var pre uint64
	for off := 0; off+blockBytes <= len(txt); off += blockBytes {
		pre = chain(pre, txt[off:off+blockBytes])
		has = append(has, pre)
	}
	return has
}

func chain(pre uint64, blo string) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], pre)
	_, _ = dig.Write(buf[:])
	_, _ = dig.WriteString(blo)
	return dig.Sum64()
}
