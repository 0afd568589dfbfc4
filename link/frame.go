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

// numberBytes is the length of the exchange's number on its stream, which
// precedes the content of heads, answers and failures. An answer that comes
// late or twice has another number than the exchange that reads it.
const numberBytes = 4

// appendNumbered appends a frame of the exchange with the number.
func appendNumbered(b []byte, k kind, number uint32, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(numberBytes+len(payload)))
	b = append(b, byte(k))
	b = binary.BigEndian.AppendUint32(b, number)
	return append(b, payload...)
}

// cutNumber splits the payload of a numbered frame.
func cutNumber(b []byte) (number uint32, payload []byte, err error) {
	if len(b) < numberBytes {
		return 0, nil, errFrame
	}
	return binary.BigEndian.Uint32(b), b[numberBytes:], nil
}

// putHeader sets the header of a frame with n bytes of payload.
func putHeader(b []byte, k kind, n int) {
	putLength(b, n)
	b[4] = byte(k)
}

// putLength sets the length of a frame whose payload was filled in later.
func putLength(b []byte, n int) { binary.BigEndian.PutUint32(b, uint32(n)) }

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
