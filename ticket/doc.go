// Package ticket reads ticket documents in YAML, checks them as a whole, and
// tells what a ticket changes.
//
// A ticket names the whole new state of what it changes:
//
//	number: 1
//	services:
//	  - name: listing
//	    keyed: true      # divided by key
//	    ranges: 1024     # a power of two, fixed when the service is created
//	    maxrun: 2s       # longest run of a request after the ownership check
//	    queue: 100       # requests waiting beside each server
//	    weights: {imbalance: 1, churn: 1, unavailable: 3}
//	    objectives:
//	      - {class: urgent, availability: 0.999, latency: 50ms, fast: 0.99}
//	    rules:           # the first that matches gives the class
//	      - {caller: mender, kind: claim, class: urgent}
//	    dcs: [howrah]    # data centres that may serve it; all when left out
//	    idempotent: [view]
//	    recordttl: 10m   # how long an idempotency record is kept
//	callers:
//	  - {name: mender, rate: 100, burst: 200}  # requests a second at each daemon
//	voters:
//	  - {name: a, incarnation: 7, addr: "10.0.0.1:7000"}
//	remove: [depot]      # services to remove
package ticket
