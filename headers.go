package pollenlatch

// Headers names the HTTP headers by which callers and servers are told, and
// tell, what concerns a request. Empty names are not used.
type Headers struct {
	RequestID      string // names one attempt of a caller; servers return it
	Deadline       string // milliseconds until the sender stops waiting
	Key            string // key of a service divided by key
	Caller         string // service beside which the request came in
	ExpectedServer string // name of the server that is to run the request
	ServerName     string // name of the server that made an answer
	Signature      string // marks an answer that a server has made
	NotRun         string // an answer with it says that the server did not run the request
	Load           string // of the server: running, waiting, slots
}
