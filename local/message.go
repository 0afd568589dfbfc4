// Package local is the HTTP interface between a daemon and its local server. The
// server announces itself, and the daemon probes it and sends it grants with fences.
// docs/endpoint.md describes the protocol.
package local

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"pollenlatch"
)

// Paths that the daemon serves for its local server.
const (
	PathAnnounce = "/v1/announce"
	PathReady    = "/v1/ready"
	PathDrain    = "/v1/drain"
	PathLoad     = "/v1/load"
)

// Paths that the server serves for its local daemon.
const (
	PathGrants = "/pollen/grants"
	PathExtend = "/pollen/extend"
	PathHealth = "/pollen/health"
)

// Headers of a request that a daemon sends to its server, and of the response.
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

// Errors of malformed announcements and headers.
var (
	ErrNoService          = errors.New("service is empty")
	ErrInvalidIncarnation = errors.New("incarnation must lie between 1 and 2^53-1")
	ErrInvalidSlots       = errors.New("slots and conns must be at least 1, and slots at most 65536")
	ErrInvalidRange       = errors.New("malformed " + HeaderRange)
)

// MaxIncarnation limits incarnations, because JSON parsers of other languages
// represent integers exactly only up to 2^53.
const MaxIncarnation = pollenlatch.Incarnation(1<<53 - 1)

// Grants replaces all grants of the server. The server refuses it when Seq is not
// above its present sequence number, or when the grants have expired.
type Grants struct {
	Incarnation     pollenlatch.Incarnation `json:"incarnation"` // of the server
	Seq             uint64                  `json:"seq"`
	TTLMillis       int64                   `json:"ttl_ms"`     // from receipt
	ExpiryUnixMilli int64                   `json:"until_unix"` // the grants expire then at the latest
	Grants          []pollenlatch.Grant     `json:"grants"`
}

// Extend extends the grants that were sent with the same Seq.
type Extend struct {
	Incarnation     pollenlatch.Incarnation `json:"incarnation"`
	Seq             uint64                  `json:"seq"`
	TTLMillis       int64                   `json:"ttl_ms"`
	ExpiryUnixMilli int64                   `json:"until_unix"`
}

// GrantsReply is the reply to Grants and Extend: the present sequence number of the
// server's grants.
type GrantsReply struct {
	Incarnation pollenlatch.Incarnation `json:"incarnation"`
	Seq         uint64                  `json:"seq"`
}

// Health is the response to a probe.
type Health struct {
	Incarnation pollenlatch.Incarnation `json:"incarnation"`
	Ready       bool                    `json:"ready"`
	Draining    bool                    `json:"draining"`
	Running     uint32                  `json:"running"`
}

// Ready reports that the server has become ready or is no longer ready.
type Ready struct {
	Incarnation pollenlatch.Incarnation `json:"incarnation"`
	Ready       bool                    `json:"ready"`
}

// Drain reports that the server is leaving, or no longer leaving.
type Drain struct {
	Incarnation pollenlatch.Incarnation `json:"incarnation"`
	Draining    bool                    `json:"draining"`
}

// LoadReport reports the load as measured by the server.
type LoadReport struct {
	Incarnation pollenlatch.Incarnation `json:"incarnation"`
	Running     uint32                  `json:"running"`
	Waiting     uint32                  `json:"waiting"`
}

// ErrorResponse is the body of every response of the daemon with a status other
// than 2xx.
type ErrorResponse struct {
	Error string `json:"error"`
}

// TimeLeft returns the time until grants expire that are received at now, by the
// clock of the server. It is not positive for a message that has waited for too long
// in a socket buffer of a frozen server.
func TimeLeft(ttlMillis, expiryUnixMilli int64, now time.Time) time.Duration {
	return min(time.Duration(ttlMillis)*time.Millisecond, time.UnixMilli(expiryUnixMilli).Sub(now))
}

// CheckEndpoint returns an error for the first invalid field of an announcement, or
// nil.
func CheckEndpoint(e pollenlatch.Endpoint) error {
	if e.Service == "" {
		return ErrNoService
	}
	if err := pollenlatch.CheckAddr(e.Addr); err != nil {
		return err
	}
	if e.Incarnation == 0 || e.Incarnation > MaxIncarnation {
		return ErrInvalidIncarnation
	}
	if e.Slots == 0 || e.Slots > pollenlatch.MaxSlots || e.MaxConns == 0 {
		return ErrInvalidSlots
	}
	return nil
}

const keySeparator = ";key="

// FormatRange returns the value of the Pollen-Range header for a shard: the number
// of its range, followed by the escaped key when the shard is a hot key.
func FormatRange(s pollenlatch.Shard) string {
	n := strconv.FormatUint(uint64(s.Range), 10)
	if s.Key == "" {
		return n
	}
	return n + keySeparator + url.QueryEscape(s.Key)
}

// ParseRange parses a value that FormatRange returned. The error wraps
// ErrInvalidRange.
func ParseRange(service, value string) (pollenlatch.Shard, error) {
	number, escapedKey, hasKey := strings.Cut(value, keySeparator)
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return pollenlatch.Shard{}, fmt.Errorf("%w: %q", ErrInvalidRange, value)
	}
	s := pollenlatch.Shard{Service: service, Range: pollenlatch.Range(n)}
	if !hasKey {
		return s, nil
	}
	s.Key, err = url.QueryUnescape(escapedKey)
	if err != nil || s.Key == "" {
		return pollenlatch.Shard{}, fmt.Errorf("%w: %q", ErrInvalidRange, value)
	}
	return s, nil
}
