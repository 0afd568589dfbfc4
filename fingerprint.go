package pollenlatch

import "fmt"

// Fingerprint identifies what a request asks for, by digests of its method, host, path,
// caller and body. Attempts of the same request have the same fingerprint.
type Fingerprint struct {
	Head uint64 `protobuf:"fixed64,1,opt,name=head"`
	Body uint64 `protobuf:"fixed64,2,opt,name=body"` // 0 without a body
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x-%016x", f.Head, f.Body) }

// MaxStrikes is the number of servers that may end under a request before it is
// quarantined: it is refused by all instances. Requests that only happened to run at
// servers that ended seldom get there, since one success clears them.
const MaxStrikes = 3

// Suspect is a request that was running when servers ended, and has not completed since.
type Suspect struct {
	Fingerprint
	Strikes uint32 `protobuf:"varint,3,opt,name=strikes"` // servers that ended under it
	Ended   uint32 `protobuf:"varint,4,opt,name=ended"`   // quarantines that have ended; each lasts longer than the last
}

// Quarantined reports whether the request must not be sent to servers.
func (s Suspect) Quarantined() bool { return s.Strikes >= MaxStrikes }

// SuspectView is implemented by views that know suspects.
type SuspectView interface {
	// HasSuspects reports whether there are any suspects.
	HasSuspects() bool
	// Suspects returns the suspects with a head digest.
	Suspects(head uint64) []Suspect
}
