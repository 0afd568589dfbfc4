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

// purpose separates sessions for control from sessions for request bodies.
type purpose uint32

const (
	forControl purpose = 1
	forData    purpose = 2
)

const (
	nonceBytes = 32
	protocol   = 1 // version of the frames; peers of another version are refused
)

// Errors of the handshake.
var (
	ErrOtherGroup      = errors.New("peer belongs to another group")
	ErrInvalidProof    = errors.New("peer does not hold the shared key")
	ErrProtocolVersion = errors.New("peer speaks another version of the protocol")
	errHello           = errors.New("malformed hello")
)

// hello is the first frame of each side of a connection.
type hello struct {
	Protocol    uint32                  `protobuf:"varint,1,opt,name=protocol"`
	Group       string                  `protobuf:"bytes,2,opt,name=group"`
	Name        string                  `protobuf:"bytes,3,opt,name=name"`
	Incarnation pollenlatch.Incarnation `protobuf:"varint,4,opt,name=incarnation"`
	Purpose     purpose                 `protobuf:"varint,5,opt,name=purpose"`
	Nonce       []byte                  `protobuf:"bytes,6,opt,name=nonce"`
}

// Check reports whether the hello names its sender and a known purpose.
func (h *hello) Check() error {
	switch {
	case h.Protocol != protocol:
		return ErrProtocolVersion
	case h.Name == "" || h.Incarnation == 0 || len(h.Nonce) != nonceBytes:
		return errHello
	case h.Purpose != forControl && h.Purpose != forData:
		return errHello
	default:
		return nil
	}
}

// proof is the MAC by which the sender of own proves that it holds the key.
// The role keeps a proof from being sent back to the side that made it, and
// every field is preceded by its length so that no two contents are equal.
func proof(key []byte, role byte, own, other *hello) []byte {
	m := hmac.New(sha256.New, key)
	field := func(b []byte) {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(b)))
		_, _ = m.Write(n[:])
		_, _ = m.Write(b)
	}
	field([]byte{role})
	for _, h := range []*hello{own, other} {
		field(h.Nonce)
		field([]byte(h.Group))
		field([]byte(h.Name))
		field(binary.BigEndian.AppendUint64(nil, uint64(h.Incarnation)))
		field(binary.BigEndian.AppendUint32(nil, uint32(h.Purpose)))
	}
	return m.Sum(nil)
}

const (
	roleDial   = 'd'
	roleAccept = 'a'
)

// handshake proves the shared key to the peer and makes it prove the same.
// The accepting side proves nothing before the dialling side has, so that a
// stranger learns no MAC. It returns what the peer said of itself.
func (n *Node) handshake(c net.Conn, dialled bool, p purpose) (*hello, error) {
	if err := c.SetDeadline(time.Now().Add(n.cfg.HandshakeTimeout)); err != nil {
		return nil, err
	}
	own := &hello{
		Protocol:    protocol,
		Group:       n.cfg.Group,
		Name:        n.cfg.Name,
		Incarnation: n.cfg.Incarnation,
		Purpose:     p,
		Nonce:       make([]byte, nonceBytes),
	}
	_, _ = rand.Read(own.Nonce)
	var err error
	var other *hello
	if dialled {
		other, err = n.prove(c, own)
	} else {
		other, err = n.demand(c, own)
	}
	if err != nil {
		return nil, err
	}
	return other, c.SetDeadline(time.Time{})
}

// prove is the dialling side of the handshake.
func (n *Node) prove(c net.Conn, own *hello) (*hello, error) {
	r := bufio.NewReaderSize(c, 512)
	if err := writeHello(c, own); err != nil {
		return nil, err
	}
	other, err := n.readHello(r)
	if err != nil {
		return nil, err
	}
	if other.Purpose != own.Purpose {
		return nil, errHello
	}
	if _, err := c.Write(appendFrame(nil, kindProof, proof(n.cfg.Key, roleDial, own, other))); err != nil {
		return nil, err
	}
	if err := readProof(r, proof(n.cfg.Key, roleAccept, other, own)); err != nil {
		return nil, err
	}
	if r.Buffered() != 0 {
		return nil, errFrame
	}
	return other, nil
}

// demand is the accepting side of the handshake. It takes the dialler's purpose.
func (n *Node) demand(c net.Conn, own *hello) (*hello, error) {
	r := bufio.NewReaderSize(c, 512)
	other, err := n.readHello(r)
	if err != nil {
		return nil, err
	}
	if err := n.refuses(other.Purpose); err != nil {
		return nil, err
	}
	own.Purpose = other.Purpose
	if err := writeHello(c, own); err != nil {
		return nil, err
	}
	if err := readProof(r, proof(n.cfg.Key, roleDial, other, own)); err != nil {
		return nil, err
	}
	if r.Buffered() != 0 {
		return nil, errFrame
	}
	_, err = c.Write(appendFrame(nil, kindProof, proof(n.cfg.Key, roleAccept, own, other)))
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
	k, b, err := readFrame(r, maxHandshake)
	if err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	if k != kindHello {
		return nil, errHello
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
	k, b, err := readFrame(r, maxHandshake)
	if err != nil {
		return fmt.Errorf("read proof: %w", err)
	}
	if k != kindProof || !hmac.Equal(b, want) {
		return ErrInvalidProof
	}
	return nil
}
