// Package messenger defines the protobuf messages between hosts, and the framing of
// the messages.
//
// A frame is a four-byte big-endian length followed by one encoded Envelope.
package messenger

import (
	"encoding/binary"
	"io"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

const (
	// ProtocolVersion is the version of the peer protocol that this build uses.
	ProtocolVersion = 1

	// MaxFrameBytes bounds the encoded Envelope of a frame. It leaves room for
	// tables of one megabyte.
	MaxFrameBytes = 4 << 20

	// MaxIncarnation bounds the incarnations of hosts, which begin at the time in
	// nanoseconds, and their refutations. A host must be able to exceed those that others
	// report of it.
	MaxIncarnation = math.MaxInt64

	// maxTime bounds the times of messages, so that sums of a few of them don't overflow.
	maxTime = 365 * 24 * time.Hour

	// lengthBytes is the size of the length field of a frame.
	lengthBytes = 4
)

// Errors of Read and Write. After ErrMalformed nothing has been sent, or the frame has been
// read, so that the stream can be used further.
var (
	ErrMalformed       = eris.New("messenger: envelope can't be encoded or decoded")
	ErrFrameTooLarge   = eris.New("messenger: frame exceeds the maximum size")
	ErrProtocolVersion = eris.New("messenger: peer speaks another protocol version")
)

// Write sets the protocol version of an envelope and sends it as one frame.
func Write(writer io.Writer, env *Envelope) error {
	env.Protocol = ProtocolVersion
	size := proto.Size(env)
	if size > MaxFrameBytes {
		return ErrFrameTooLarge
	}
	buf := make([]byte, lengthBytes, lengthBytes+size)
	binary.BigEndian.PutUint32(buf, uint32(size))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, env)
	if err != nil {
		return eris.Wrapf(ErrMalformed, "messenger.Write: encode: %s", err)
	}
	_, err = writer.Write(buf)
	return eris.Wrap(err, "messenger.Write: send")
}

// Read receives one frame. It returns io.EOF unwrapped if the stream ends before
// a frame starts, and ErrProtocolVersion for an envelope of another protocol version.
func Read(reader io.Reader) (*Envelope, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		if err == io.EOF {
			return nil, err
		}
		return nil, eris.Wrap(err, "messenger.Read: length")
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(reader, buf); err != nil {
		return nil, eris.Wrap(err, "messenger.Read: body")
	}
	env := &Envelope{}
	if err := proto.Unmarshal(buf, env); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "messenger.Read: decode: %s", err)
	}
	if env.GetProtocol() != ProtocolVersion {
		return nil, ErrProtocolVersion
	}
	return env, nil
}

// NewFailure returns the reply to a call that is refused or has failed.
func NewFailure(code, message string) *Envelope {
	return &Envelope{Body: &Envelope_Failure{Failure: &Failure{Code: code, Message: message}}}
}

// Millis returns a time of a message in milliseconds, kept within a year.
func Millis(ms int64) time.Duration {
	const limit = int64(maxTime / time.Millisecond)
	return time.Duration(min(limit, max(-limit, ms))) * time.Millisecond
}

// Age returns an age of a message in milliseconds. A negative one counts as 0, since nothing
// is known of the future.
func Age(ms int64) time.Duration { return max(0, Millis(ms)) }
