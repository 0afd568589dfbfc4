package admin

import (
	"time"

	"pollenlatch"
	"pollenlatch/state"
	"pollenlatch/ticket"
)

// Decision is the response to a submitted ticket, or to an order to evacuate a data
// centre.
type Decision struct {
	Verdict pollenlatch.Verdict `json:"verdict"`
	InForce bool                `json:"in_force"` // at every instance that may serve
}

// TicketList is a page of the history of tickets, newest first.
type TicketList struct {
	Tickets    []state.TicketRecord `json:"tickets"`
	NextNumber uint64               `json:"next"` // next free ticket number
}

// TicketRecord is one decided ticket.
type TicketRecord struct {
	state.TicketRecord
	InForce bool `json:"in_force"`
}

// TicketDiff lists what a ticket would change.
type TicketDiff struct {
	Number     uint64          `json:"number"`
	NextNumber uint64          `json:"next"` // next free ticket number
	Changes    []ticket.Change `json:"changes"`
	Faults     []string        `json:"faults,omitempty"` // why the ticket would be refused now
}

// Status is the status of a process, and of its group as that process knows it.
type Status struct {
	Process    ProcessStatus          `json:"process"`
	NextTicket uint64                 `json:"next_ticket"`
	Alive      int                    `json:"alive"` // instances with a lease
	Lost       int                    `json:"lost"`  // known instances without a lease
	Voters     []pollenlatch.Member   `json:"voters"`
	Services   []ServiceStatus        `json:"services"`
	Instances  []pollenlatch.Instance `json:"instances,omitempty"` // only when requested
	// EvacuatedDCs are the evacuated data centres.
	EvacuatedDCs []string `json:"evacuated"`
}

// ServiceStatus is the status of one service.
type ServiceStatus struct {
	Name      string `json:"name"`
	Keyed     bool   `json:"keyed"`
	Ranges    int    `json:"ranges"`
	Unowned   int    `json:"unowned"` // ranges and hot keys without an owner
	Moving    int    `json:"moving"`  // ranges and hot keys that are being handed over
	HotKeys   int    `json:"hot_keys"`
	Endpoints int    `json:"endpoints"`
	Usable    int    `json:"usable"` // endpoints that may receive new requests
}

// KeyOwner says which instance owns a key, since when and why.
type KeyOwner struct {
	Service   string                `json:"service"`
	Key       string                `json:"key"`
	Range     pollenlatch.Range     `json:"range"`
	HotKey    bool                  `json:"hot"`                // the key is a shard of its own, apart from its range
	Instance  *pollenlatch.Instance `json:"instance,omitempty"` // nil when the key has no owner
	Fence     pollenlatch.Fence     `json:"fence"`
	Previous  string                `json:"last,omitempty"`  // last owner, when the key has none
	Next      string                `json:"next,omitempty"`  // next owner, during a hand-over
	NoRecords bool                  `json:"no_records"`      // the idempotency records were not handed over
	Since     *time.Time            `json:"since,omitempty"` // nil when this instance has not seen the assignment
	Reason    string                `json:"reason"`
	Version   pollenlatch.Version   `json:"version"` // of the state that this was read from
}

// Error is the body of a response with an error status.
type Error struct {
	Error string `json:"error"`
}
