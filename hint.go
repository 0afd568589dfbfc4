package pollenlatch

// ServerLoad is the load that a server states in a response.
type ServerLoad struct {
	Running  uint32 // requests
	Waiting  uint32 // requests
	Slots    uint32
	Slowness uint32 // time that work takes at present, in percent of the usual; 0 is unknown
}

// ServerHint is what the daemon beside a server tells other daemons about it, with each
// response and refusal.
type ServerHint struct {
	FreeSlots  uint32 `protobuf:"varint,1,opt,name=free"`
	Waiting    uint32 `protobuf:"varint,2,opt,name=waiting"`  // requests that wait for a slot
	WaitMillis uint32 `protobuf:"varint,3,opt,name=wait"`     // expected wait of a new request for a slot
	Slots      uint32 `protobuf:"varint,4,opt,name=slots"`    // that the daemon uses at present
	Slowness   uint32 `protobuf:"varint,5,opt,name=slowness"` // percent; 0 is unknown
	Cold       bool   `protobuf:"varint,6,opt,name=cold"`     // the server is cold
	// LowestClass is the class of the least urgent request that waits or runs; 0 is none.
	LowestClass Class `protobuf:"varint,7,opt,name=lowest"`
	// RefusedClass is the most urgent class of which the daemon has just refused a request
	// for lack of slots, although the request could still have met its objective; 0 is none.
	RefusedClass Class `protobuf:"varint,8,opt,name=refused"`
	// Failing is the share of the recent exchanges that failed through the server's fault,
	// in percent; 0 after too few.
	Failing uint32 `protobuf:"varint,9,opt,name=failing"`
}
