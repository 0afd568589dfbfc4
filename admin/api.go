package admin

import (
	"time"

	"pollenlatch"
	"pollenlatch/state"
	"pollenlatch/ticket"
)

// Decision answers a ticket.
type Decision struct {
	Verdict pollenlatch.Verdict `json:"verdict"`
	InForce bool                `json:"in_force"` // everywhere
}

// TicketList is a part of the history of tickets, newest first.
type TicketList struct {
	Tickets    []state.TicketRecord `json:"tickets"`
	NextNumber uint64               `json:"next"` // the next free number
}

// TicketRecord is one decided ticket.
type TicketRecord struct {
	state.TicketRecord
	InForce bool `json:"in_force"`
}

// TicketDiff tells what a ticket would change.
type TicketDiff struct {
	Number     uint64          `json:"number"`
	NextNumber uint64          `json:"next"` // the next free number
	Changes    []ticket.Change `json:"changes"`
	Faults     []string        `json:"faults,omitempty"` // why it would be refused now
}

// Status is the condition of the process and of its group as it knows it.
type Status struct {
	Process    ProcessStatus          `json:"process"`
	NextTicket uint64                 `json:"next_ticket"`
	Alive      int                    `json:"alive"` // instances with a lease
	Lost       int                    `json:"lost"`  // known instances without one
	Voters     []pollenlatch.Member   `json:"voters"`
	Services   []ServiceStatus        `json:"services"`
	Instances  []pollenlatch.Instance `json:"instances,omitempty"` // on request
}

// ServiceStatus is the condition of one service.
type ServiceStatus struct {
	Name      string `json:"name"`
	Keyed     bool   `json:"keyed"`
	Ranges    int    `json:"ranges"`
	Unowned   int    `json:"unowned"` // ranges and hot keys without an owner
	Moving    int    `json:"moving"`  // ranges and hot keys that are being handed over
	HotKeys   int    `json:"hot_keys"`
	Endpoints int    `json:"endpoints"`
	Usable    int    `json:"usable"` // endpoints that may be given new work
}

// KeyOwner tells who owns a key.
type KeyOwner struct {
	Service   string                `json:"service"`
	Key       string                `json:"key"`
	Range     pollenlatch.Range     `json:"range"`
	HotKey    bool                  `json:"hot"`                // the key has a record of its own
	Instance  *pollenlatch.Instance `json:"instance,omitempty"` // absent when nobody owns it
	Fence     pollenlatch.Fence     `json:"fence"`
	Previous  string                `json:"last,omitempty"` // who had it last, when nobody owns it
	Next      string                `json:"next,omitempty"` // who is to get it
	NoRecords bool                  `json:"no_records"`     // taken over without the idempotency records
	Since     *time.Time            `json:"since,omitempty"`
	Reason    string                `json:"reason"`
	Version   pollenlatch.Version   `json:"version"` // of the state that says so
}

// Error is the body of an answer that is not a success.
type Error struct {
	Error string `json:"error"`
}
