// Package local is the HTTP interface between a daemon and the server beside
// it: the server announces itself, and the daemon gives it fenced grants and
// watches that it lives. docs/endpoint.md describes the protocol.
package local

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"pollenlatch"
)

// Paths that the daemon serves for the server beside it.
const (
	PathAnnounce = "/v1/announce"
	PathReady    = "/v1/ready"
	PathDrain    = "/v1/drain"
	PathLoad     = "/v1/load"
)

// Paths that the server serves for the daemon beside it.
const (
	PathGrants = "/pollen/grants"
	PathExtend = "/pollen/extend"
	PathHealth = "/pollen/health"
)

// Headers of a request that a daemon passes to its server, and of its answer.
const (
	HeaderFence    = "Pollen-Fence"
	HeaderRange    = "Pollen-Range"
	HeaderDeadline = "Pollen-Deadline"
	HeaderOutcome  = "Pollen-Outcome"
	HeaderService  = "Pollen-Service"
	HeaderKey      = "Pollen-Key"
	HeaderCaller   = "Pollen-Caller"
	HeaderKind     = "Pollen-Kind"
	HeaderAttempt  = "Pollen-Attempt"
)

// Errors of announcements and of headers.
var (
	ErrInvalidAddr        = errors.New("addr is not host:port")
	ErrNoService          = errors.New("service is empty")
	ErrInvalidIncarnation = errors.New("incarnation must lie between 1 and 2^53-1")
	ErrInvalidSlots       = errors.New("slots and conns must be at least 1")
	ErrInvalidRange       = errors.New("malformed " + HeaderRange)
)

// MaxIncarnation bounds incarnations, because JSON readers of other languages
// keep integers exactly only up to 2^53.
const MaxIncarnation = pollenlatch.Incarnation(1<<53 - 1)

// Grants replaces every grant of the server. It is ignored when Seq is lower
// than the sequence number that the server holds, or when Until has passed.
type Grants struct {
	Incarnation     pollenlatch.Incarnation `json:"incarnation"` // of the server
	Seq             uint64                  `json:"seq"`
	TTLMillis       int64                   `json:"ttl_ms"`     // milliseconds from receipt
	ExpiryUnixMilli int64                   `json:"until_unix"` // latest end, Unix milliseconds
	Grants          []pollenlatch.Grant     `json:"grants"`
}

// Extend prolongs the grants that were set with the same Seq.
type Extend struct {
	Incarnation     pollenlatch.Incarnation `json:"incarnation"`
	Seq             uint64                  `json:"seq"`
	TTLMillis       int64                   `json:"ttl_ms"`
	ExpiryUnixMilli int64                   `json:"until_unix"`
}

// GrantsReply answers Grants and Extend: what the server holds now.
type GrantsReply struct {
	Incarnation pollenlatch.Incarnation `json:"incarnation"`
	Seq         uint64                  `json:"seq"`
}

// Health answers a probe.
type Health struct {
	Incarnation pollenlatch.Incarnation `json:"incarnation"`
	Ready       bool                    `json:"ready"`
	Draining    bool                    `json:"draining"`
	Running     uint32                  `json:"running"`
}

// Ready says that the server became ready or stopped being ready.
type Ready struct {
	Incarnation pollenlatch.Incarnation `json:"incarnation"`
	Ready       bool                    `json:"ready"`
}

// Drain says that the server is leaving, or no longer leaving.
type Drain struct {
	Incarnation pollenlatch.Incarnation `json:"incarnation"`
	Draining    bool                    `json:"draining"`
}

// LoadReport is the load as the server sees it.
type LoadReport struct {
	Incarnation pollenlatch.Incarnation `json:"incarnation"`
	Running     uint32                  `json:"running"`
	Waiting     uint32                  `json:"waiting"`
}

// ErrorResponse is the body of every answer that is not 2xx.
type ErrorResponse struct {
	Error string `json:"error"`
}

// TimeLeft returns how long grants sent with ttl and until last at a receiver
// whose clock shows now. A message that waited in a socket buffer of a frozen
// server has no time left.
func TimeLeft(ttl, until int64, now time.Time) time.Duration {
	return min(time.Duration(ttl)*time.Millisecond, time.UnixMilli(until).Sub(now))
}

// CheckEndpoint reports the first fault of an announcement.
func CheckEndpoint(e pollenlatch.Endpoint) error {
	if e.Service == "" {
		return ErrNoService
	}
	host, port, err := net.SplitHostPort(e.Addr)
	if err != nil || host == "" || port == "" {
		return fmt.Errorf("%w: %q", ErrInvalidAddr, e.Addr)
	}
	if e.Incarnation == 0 || e.Incarnation > MaxIncarnation {
		return ErrInvalidIncarnation
	}
	if e.Slots == 0 || e.MaxConns == 0 {
		return ErrInvalidSlots
	}
	return nil
}

const keyMark = ";key="

// FormatRange returns the Pollen-Range header of a shard: the number of its
// range, followed by the escaped key for a hot key's own record.
func FormatRange(s pollenlatch.Shard) string {
	n := strconv.FormatUint(uint64(s.Range), 10)
	if s.Key == "" {
		return n
	}
	return n + keyMark + url.QueryEscape(s.Key)
}

// ParseRange is the reverse of FormatRange. The error wraps ErrRange.
func ParseRange(service, v string) (pollenlatch.Shard, error) {
	number, escaped, hot := strings.Cut(v, keyMark)
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return pollenlatch.Shard{}, fmt.Errorf("%w: %q", ErrInvalidRange, v)
	}
	s := pollenlatch.Shard{Service: service, Range: pollenlatch.Range(n)}
	if !hot {
		return s, nil
	}
	s.Key, err = url.QueryUnescape(escaped)
	if err != nil || s.Key == "" {
		return pollenlatch.Shard{}, fmt.Errorf("%w: %q", ErrInvalidRange, v)
	}
	return s, nil
}
