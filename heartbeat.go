package pollenlatch

import (
	"errors"
	"time"
)

// ErrNotRecorded is the error of a call that could not be recorded in the replicated
// state in time. The same call may be sent again.
var ErrNotRecorded = errors.New("the departure of the server could not be recorded in time")

// Heartbeat is a heartbeat of the local server.
type Heartbeat struct {
	Endpoint Endpoint
	Seq      uint64        // rises with every heartbeat of one incarnation
	ColdFor  time.Duration // time left of the server's cold start
	Held     []KeyRange    // grants of the server, and those it still runs requests of
	Released []KeyRange    // released since the last reply, with tokens
}

// KeyRange is a range of consecutive keys of a numeric service.
type KeyRange struct {
	First uint32
	Last  uint32 // inclusive
	Fence Fence
	Token string // from the server that released the range, for the next one
}

// HeartbeatReply is the reply to a heartbeat: all grants of the server.
type HeartbeatReply struct {
	Ranges []KeyRange
	TTL    time.Duration // counted from the sending of the heartbeat; 0 renews nothing
}

// HeartbeatHandler handles the heartbeats of the local server.
type HeartbeatHandler interface {
	// Heartbeat handles a heartbeat and returns the grants of the server. It
	// fails when the heartbeat is not from the current server. The first heartbeats of
	// a server that is draining wait until that is recorded, for less than a second.
	Heartbeat(b Heartbeat) (HeartbeatReply, error)
	// Leave reports that the server is about to stop. It waits until that is recorded,
	// for less than a second.
	Leave(id string) error
}

// ErrNoVerdict is the error of an order that the group has not decided on in time. The
// same order may be sent again.
var ErrNoVerdict = errors.New("the group has not decided in time")

// Evacuator starts and ends evacuations of data centres.
type Evacuator interface {
	// Evacuate submits an order to the group and returns once it is committed. An order
	// that is in force already changes nothing. The error is ErrNoVerdict when there is
	// no verdict in less than a second, and another one when the order is refused.
	Evacuate(e Evacuate) error
}

// ConfigStore reads and changes the configuration.
type ConfigStore interface {
	// Propose submits items to the group and waits for the verdict. Without a
	// verdict in time it fails; the same items may then be proposed again.
	Propose(items []ConfigItem) (Verdict, error)
	// Items returns all items in force, including every change that was committed
	// before the call.
	Items() ([]ConfigItem, error)
}
