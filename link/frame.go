package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// frameKind is the type of a frame's payload.
type frameKind byte

// Kinds of frames.
const (
	kindHello    frameKind = 1  // hello, unencrypted, before the session
	kindProof    frameKind = 2  // HMAC-SHA256, before the session
	kindMessage  frameKind = 3  // pollenlatch.Message
	kindHead     frameKind = 4  // pollenlatch.RequestHead
	kindResponse frameKind = 5  // pollenlatch.ResponseHead
	kindChunk    frameKind = 6  // raw bytes of a body
	kindEnd      frameKind = 7  // end mark; that of a response has one byte, discardStream or reuseStream
	kindFailure  frameKind = 8  // failure
	kindCancel   frameKind = 9  // stream ID of an exchange that the dialling side has aborted
	kindDrain    frameKind = 10 // the receiver starts no new exchange on this session
	kindRevoke   frameKind = 15 // receipt of a request that is not to run any more, its age in nanoseconds and, if it may still run to its end in time, the time left for that
	kindVerdict  frameKind = 16 // answer to kindRevoke: one byte, verdictUnknown or verdictNotRun

	// kindBodyRequest has the number of bytes of a large body that the accepting side
	// requests.
	kindBodyRequest frameKind = 11
)

const (
	frameHeaderBytes  = 5       // bytes: length of the payload, kind
	maxMessageBytes   = 4 << 20 // bytes of a control message; a ticket with every service fits
	maxHandshakeBytes = 1 << 10 // bytes of a frame from a peer that is not authenticated yet
	maxHeadBytes      = 1 << 20 // bytes of a request or response head
	maxChunkBytes     = 32 << 10
	maxSignalBytes    = 16
)

// errMalformedFrame says that a peer violates the framing protocol.
var errMalformedFrame = errors.New("malformed frame")

// appendFrame appends one frame to b.
func appendFrame(b []byte, k frameKind, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = append(b, byte(k))
	return append(b, payload...)
}

// exchangeNumberBytes is the length of the number of an exchange on its stream. It
// precedes the content of request heads, responses and failures, so that a late or
// duplicate response is not taken for that of a later exchange.
const exchangeNumberBytes = 4

// appendNumbered appends a frame whose payload begins with the exchange number.
func appendNumbered(b []byte, k frameKind, number uint32, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(exchangeNumberBytes+len(payload)))
	b = append(b, byte(k))
	b = binary.BigEndian.AppendUint32(b, number)
	return append(b, payload...)
}

// splitNumber splits the exchange number from the payload of a frame.
func splitNumber(b []byte) (number uint32, payload []byte, err error) {
	if len(b) < exchangeNumberBytes {
		return 0, nil, errMalformedFrame
	}
	return binary.BigEndian.Uint32(b), b[exchangeNumberBytes:], nil
}

// putHeader sets the header of a frame with n bytes of payload.
func putHeader(b []byte, k frameKind, n int) {
	putLength(b, n)
	b[4] = byte(k)
}

// putLength sets the length in the header of a frame whose payload is already in
// place.
func putLength(b []byte, n int) { binary.BigEndian.PutUint32(b, uint32(n)) }

// readHeader reads the header of a frame. It returns io.EOF only when the stream
// ends between frames.
func readHeader(r *bufio.Reader) (frameKind, int, error) {
	h, err := r.Peek(frameHeaderBytes)
	if err != nil {
		if errors.Is(err, io.EOF) && len(h) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return 0, 0, err
	}
	n := binary.BigEndian.Uint32(h)
	k := frameKind(h[4])
	_, _ = r.Discard(frameHeaderBytes)
	if n > maxMessageBytes {
		return 0, 0, fmt.Errorf("%w: kind %d with %d bytes", errMalformedFrame, k, n)
	}
	return k, int(n), nil
}

// readFrame reads a frame with a payload of at most limit bytes.
func readFrame(r *bufio.Reader, limit int) (frameKind, []byte, error) {
	k, n, err := readHeader(r)
	if err != nil {
		return 0, nil, err
	}
	if n > limit {
		return 0, nil, fmt.Errorf("%w: kind %d with %d bytes, limit %d", errMalformedFrame, k, n, limit)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return 0, nil, unexpectedEOF(err)
	}
	return k, b, nil
}

// unexpectedEOF replaces io.EOF inside a frame by an error that no reader takes for
// the end of a body.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
