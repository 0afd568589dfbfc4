package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

const (
	// minPort and maxPort are the first and the last port that may be chosen. Linux
	// uses ports from 32768 on for outgoing connections, so that no such connection
	// can take the port of an instance that is down.
	minPort = 20000
	maxPort = 32767
	// maxPortAttempts limits the number of ports that are tried for one listener.
	maxPortAttempts = 100
)

var errNoPort = errors.New("no free port found")

// reservedPorts holds a listener for each port from when it is chosen until it is
// served, so that no other process can take the port. The zero value is empty.
type reservedPorts struct {
	mu        sync.Mutex
	listeners map[string]net.Listener // by address
}

// reserve reserves a free port and returns its address.
func (p *reservedPorts) reserve() (string, error) {
	for range maxPortAttempts {
		port := minPort + rand.IntN(maxPort-minPort+1)
		ln, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue // in use
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.listeners == nil {
			p.listeners = make(map[string]net.Listener)
		}
		addr := ln.Addr().String()
		p.listeners[addr] = ln
		return addr, nil
	}
	return "", fmt.Errorf("%w in %d attempts", errNoPort, maxPortAttempts)
}

// listen returns the listener of a reserved address. Later calls open a new one.
func (p *reservedPorts) listen(addr string) (net.Listener, error) {
	p.mu.Lock()
	ln, ok := p.listeners[addr]
	delete(p.listeners, addr)
	p.mu.Unlock()
	if ok {
		return ln, nil
	}
	return net.Listen("tcp", addr)
}

// close closes the reserved ports that were not passed to listen.
func (p *reservedPorts) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, ln := range p.listeners {
		_ = ln.Close()
		delete(p.listeners, addr)
	}
}
