package link

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"

	"pollenlatch"
)

// sessionPurpose says whether a session is for control messages or for requests.
type sessionPurpose uint32

const (
	purposeControl  sessionPurpose = 1
	purposeRequests sessionPurpose = 2
)

const (
	nonceBytes      = 32
	protocolVersion = 1 // peers with another version are refused
)

// Errors of the handshake.
var (
	ErrOtherGroup      = errors.New("peer belongs to another group")
	ErrInvalidProof    = errors.New("peer does not have the shared key")
	ErrProtocolVersion = errors.New("peer uses another version of the protocol")
	errMalformedHello  = errors.New("malformed hello")
)

// hello is the first frame that each side of a connection sends.
type hello struct {
	Protocol    uint32                  `protobuf:"varint,1,opt,name=protocol"`
	Group       string                  `protobuf:"bytes,2,opt,name=group"`
	Name        string                  `protobuf:"bytes,3,opt,name=name"`
	Incarnation pollenlatch.Incarnation `protobuf:"varint,4,opt,name=incarnation"`
	Purpose     sessionPurpose          `protobuf:"varint,5,opt,name=purpose"`
	Nonce       []byte                  `protobuf:"bytes,6,opt,name=nonce"`
}

// Check reports whether the hello has this protocol version, a sender, a nonce and a
// known purpose.
func (h *hello) Check() error {
	switch {
	case h.Protocol != protocolVersion:
		return ErrProtocolVersion
	case h.Name == "" || h.Incarnation == 0 || len(h.Nonce) != nonceBytes:
		return errMalformedHello
	case h.Purpose != purposeControl && h.Purpose != purposeRequests:
		return errMalformedHello
	default:
		return nil
	}
}

// computeProof returns the MAC by which the sender of own proves that it has the
// key. The role prevents that a proof is reflected to the side that made it. Each
// field is preceded by its length, so that different hellos never have the same
// encoding.
func computeProof(key []byte, role byte, own, peer *hello) []byte {
	m := hmac.New(sha256.New, key)
	writeField := func(b []byte) {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(b)))
		_, _ = m.Write(n[:])
		_, _ = m.Write(b)
	}
	writeField([]byte{role})
	for _, h := range []*hello{own, peer} {
		writeField(h.Nonce)
		writeField([]byte(h.Group))
		writeField([]byte(h.Name))
		writeField(binary.BigEndian.AppendUint64(nil, uint64(h.Incarnation)))
		writeField(binary.BigEndian.AppendUint32(nil, uint32(h.Purpose)))
	}
	return m.Sum(nil)
}

const (
	roleDialler  = 'd'
	roleAcceptor = 'a'
)

// handshake performs the mutual authentication with the shared key, and returns the
// hello of the peer. The dialling side sends its proof first, so that a peer without
// the key receives no MAC from the accepting side.
func (n *Node) handshake(c net.Conn, dialled bool, p sessionPurpose) (*hello, error) {
	if err := c.SetDeadline(time.Now().Add(n.cfg.HandshakeTimeout)); err != nil {
		return nil, err
	}
	own := &hello{
		Protocol:    protocolVersion,
		Group:       n.cfg.Group,
		Name:        n.cfg.Name,
		Incarnation: n.cfg.Incarnation,
		Purpose:     p,
		Nonce:       make([]byte, nonceBytes),
	}
	_, _ = rand.Read(own.Nonce)
	var err error
	var peer *hello
	if dialled {
		peer, err = n.handshakeDialling(c, own)
	} else {
		peer, err = n.handshakeAccepting(c, own)
	}
	if err != nil {
		return nil, err
	}
	return peer, c.SetDeadline(time.Time{})
}

// handshakeDialling performs the dialling side of the handshake.
func (n *Node) handshakeDialling(c net.Conn, own *hello) (*hello, error) {
	r := bufio.NewReaderSize(c, 512)
	if err := writeHello(c, own); err != nil {
		return nil, err
	}
	other, err := n.readHello(r)
	if err != nil {
		return nil, err
	}
	if other.Purpose != own.Purpose {
		return nil, errMalformedHello
	}
	if _, err := c.Write(appendFrame(nil, kindProof, computeProof(n.cfg.Key, roleDialler, own, other))); err != nil {
		return nil, err
	}
	if err := readProof(r, computeProof(n.cfg.Key, roleAcceptor, other, own)); err != nil {
		return nil, err
	}
	if r.Buffered() != 0 {
		return nil, errMalformedFrame
	}
	return other, nil
}

// handshakeAccepting performs the accepting side of the handshake. It adopts the
// purpose of the dialling side.
func (n *Node) handshakeAccepting(c net.Conn, own *hello) (*hello, error) {
	r := bufio.NewReaderSize(c, 512)
	other, err := n.readHello(r)
	if err != nil {
		return nil, err
	}
	if err := n.checkAdmission(other.Purpose); err != nil {
		return nil, err
	}
	own.Purpose = other.Purpose
	if err := writeHello(c, own); err != nil {
		return nil, err
	}
	if err := readProof(r, computeProof(n.cfg.Key, roleDialler, other, own)); err != nil {
		return nil, err
	}
	if r.Buffered() != 0 {
		return nil, errMalformedFrame
	}
	_, err = c.Write(appendFrame(nil, kindProof, computeProof(n.cfg.Key, roleAcceptor, own, other)))
	return other, err
}

func writeHello(c net.Conn, h *hello) error {
	b, err := pollenlatch.Encode(h)
	if err != nil {
		return err
	}
	_, err = c.Write(appendFrame(nil, kindHello, b))
	return err
}

func (n *Node) readHello(r *bufio.Reader) (*hello, error) {
	k, b, err := readFrame(r, maxHandshakeBytes)
	if err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	if k != kindHello {
		return nil, errMalformedHello
	}
	h := new(hello)
	if err := pollenlatch.Decode(b, h); err != nil {
		return nil, err
	}
	if h.Group != n.cfg.Group {
		return nil, ErrOtherGroup
	}
	return h, nil
}

func readProof(r *bufio.Reader, want []byte) error {
	k, b, err := readFrame(r, maxHandshakeBytes)
	if err != nil {
		return fmt.Errorf("read proof: %w", err)
	}
	if k != kindProof || !hmac.Equal(b, want) {
		return ErrInvalidProof
	}
	return nil
}
