package pollenlatch

// Headers holds the names of the HTTP headers that a platform uses for the
// metadata of requests and responses. Headers with an empty name are not used.
type Headers struct {
	RequestID      string // identifies one attempt of a caller; servers return it
	Deadline       string // milliseconds left until the sender stops waiting
	Key            string // key of the request, for a keyed service
	Caller         string // service of the local server, from which the request came
	ExpectedServer string // name of the server that is to run the request
	ServerName     string // name of the server that produced the response
	Signature      string // proves that a server produced the response; checked for presence only
	NotRun         string // present when the server did not run the request
	Load           string // load of the server: running, waiting, slots, and the slowness in percent
	Cold           string // milliseconds for which the server stays cold, in responses of its health check
	Limit          string // requests a second that the server accepts from all instances together; absent: no limit
	Leaving        string // present when the server is leaving
}
