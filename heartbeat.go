package pollenlatch

import "time"

// Heartbeat is a heartbeat of the server beside a daemon.
type Heartbeat struct {
	Endpoint Endpoint
	Seq      uint64        // rises with every heartbeat of an incarnation
	ColdFor  time.Duration // how much longer the server is slow after its start
	Held     []KeyRange    // what the server holds or still works on
	Released []KeyRange    // what it has released since the last answer, with tokens
}

// KeyRange is a run of neighbouring keys of a numeric service.
type KeyRange struct {
	First uint32
	Last  uint32 // included
	Fence Fence
	Token string // given by the server that released the row, for the next one
}

// HeartbeatReply is the answer to a heartbeat: everything that the server is to hold.
type HeartbeatReply struct {
	Ranges []KeyRange
	TTL    time.Duration // from sending the heartbeat; 0 renews nothing
}

// HeartbeatHandler takes the heartbeats of the server beside a daemon.
type HeartbeatHandler interface {
	// Heartbeat takes a heartbeat and returns what the server is to hold. The error
	// says that the heartbeat is not of the present server.
	Heartbeat(b Heartbeat) (HeartbeatReply, error)
	// Leave says that the server is about to end.
	Leave(id string) error
}

// ConfigStore takes the operator's changes of the configuration.
type ConfigStore interface {
	// Propose has the group decide on items. The error is that of ctx when no
	// verdict came in time; the same items may then be sent again.
	Propose(items []ConfigItem) (Verdict, error)
	// Items returns all items in force, as of a moment after the call.
	Items() ([]ConfigItem, error)
}
