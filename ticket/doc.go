// Package ticket parses ticket documents in YAML, reports all their faults at once
// and computes what a ticket changes.
//
// A ticket gives the complete new configuration of each service, caller or set of
// voters that it changes:
//
//	number: 1
//	services:
//	  - name: listing
//	    keyed: true      # sharded by key
//	    ranges: 1024     # a power of two, fixed when the service is created
//	    maxrun: 2s       # maximum run time of a request after the ownership check
//	    queue: 100       # maximum number of requests that wait for each server
//	    weights: {imbalance: 1, churn: 1, unavailable: 3}
//	    objectives:
//	      - {class: urgent, availability: 0.999, latency: 50ms, fast: 0.99}
//	    rules:           # the first rule that matches sets the class
//	      - {caller: mender, kind: claim, class: urgent}
//	    dcs: [howrah]    # data centres whose endpoints may serve it; all if omitted
//	    idempotent: [view]
//	    recordttl: 10m   # how long an idempotency record is kept
//	callers:
//	  - {name: mender, rate: 100, burst: 200}  # requests a second at each daemon
//	voters:
//	  - {name: a, incarnation: 7, addr: "10.0.0.1:7000"}
//	remove: [depot]      # services to remove
package ticket
