package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// kind tells what the payload of a frame is.
type kind byte

// Kinds of frames.
const (
	kindHello   kind = 1  // hello, in the clear, before the session
	kindProof   kind = 2  // HMAC-SHA256, before the session
	kindMessage kind = 3  // pollenlatch.Message
	kindHead    kind = 4  // pollenlatch.RequestHead
	kindAnswer  kind = 5  // pollenlatch.ResponseHead
	kindChunk   kind = 6  // raw bytes of a body
	kindEnd     kind = 7  // end mark of a request, or of an answer with one byte: the stream may be reused
	kindFailure kind = 8  // failure
	kindCancel  kind = 9  // stream number of an exchange that the caller gave up
	kindDrain   kind = 10 // the receiver opens no new exchange on this session
)

const (
	frameHeader  = 5       // bytes: length of the payload, kind
	maxMessage   = 4 << 20 // bytes of a control message; a ticket with every service fits
	maxHandshake = 1 << 10 // bytes of a frame of a peer that has proved nothing
	maxHead      = 1 << 20 // bytes of a request or response head
	maxChunk     = 32 << 10
	maxSignal    = 16
)

// errFrame says that a peer does not follow the framing.
var errFrame = errors.New("malformed frame")

// appendFrame appends one frame to b.
func appendFrame(b []byte, k kind, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = append(b, byte(k))
	return append(b, payload...)
}

// readHeader reads the header of a frame. Its error is io.EOF only between
// frames.
func readHeader(r *bufio.Reader) (kind, int, error) {
	h, err := r.Peek(frameHeader)
	if err != nil {
		if errors.Is(err, io.EOF) && len(h) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return 0, 0, err
	}
	n := binary.BigEndian.Uint32(h)
	k := kind(h[4])
	_, _ = r.Discard(frameHeader)
	if n > maxMessage {
		return 0, 0, fmt.Errorf("%w: kind %d with %d bytes", errFrame, k, n)
	}
	return k, int(n), nil
}

// readFrame reads a frame of at most limit bytes of payload.
func readFrame(r *bufio.Reader, limit int) (kind, []byte, error) {
	k, n, err := readHeader(r)
	if err != nil {
		return 0, nil, err
	}
	if n > limit {
		return 0, nil, fmt.Errorf("%w: kind %d with %d bytes, limit %d", errFrame, k, n, limit)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return 0, nil, noEOF(err)
	}
	return k, b, nil
}

// noEOF turns the end of a stream inside a frame into an error that no reader
// takes for the end of a body.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
