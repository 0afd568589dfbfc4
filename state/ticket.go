package state

import (
	"fmt"
	"slices"
	"time"

	"pollenlatch"
)

// NumberFaultPrefix begins the fault text of a ticket that is refused because of
// its number and not its content.
const NumberFaultPrefix = "number: "

// Limits on tickets.
const (
	MaxVoters         = 5
	MaxNameBytes      = 256 // length of a name or address
	maxReportedFaults = 64  // reported for one ticket
)

// decideTicket decides on a ticket. If it has the next number the verdict is
// final, and the number is used even when the ticket is refused, so that sending
// it again can never give another verdict.
func (d *draft) decideTicket(t *pollenlatch.Ticket) {
	if v, ok := d.Decided(t); ok {
		d.result.Verdict = &v
		return
	}
	v := pollenlatch.Verdict{Number: t.Number, Version: d.version, Next: t.Number + 1}
	v.Faults = d.TicketFaults(t)
	v.Accepted = len(v.Faults) == 0
	if v.Accepted {
		d.applySpec(&t.Spec)
	}
	d.tickets = d.tickets.withRecord(TicketRecord{
		Number:     t.Number,
		Text:       t.Text,
		TextHash:   hashText(t.Text),
		Sender:     t.Sender,
		ReceivedAt: t.ReceivedAt,
		Verdict:    v,
	})
	d.result.Verdict = &v
}

// Decided returns the verdict on a ticket that does not depend on its content: the
// recorded verdict if the same ticket was decided before, or a refusal because of
// its size or number. ok is false when the content has to be checked.
func (s *State) Decided(t *pollenlatch.Ticket) (v pollenlatch.Verdict, ok bool) {
	next := s.NextTicket()
	refused := pollenlatch.Verdict{Number: t.Number, Version: s.version, Next: next}
	if len(t.Text) > MaxTicketBytes {
		refused.Faults = []string{fmt.Sprintf("the ticket has %d bytes, more than %d", len(t.Text), MaxTicketBytes)}
		return refused, true
	}
	if len(t.Sender) > MaxNameBytes {
		refused.Faults = []string{fmt.Sprintf("the sender's name has %d bytes, more than %d", len(t.Sender), MaxNameBytes)}
		return refused, true
	}
	switch {
	case t.Number == next:
		return pollenlatch.Verdict{}, false
	case t.Number == 0:
		refused.Faults = []string{fmt.Sprintf(NumberFaultPrefix+"tickets are numbered from 1; the next number is %d", next)}
		return refused, true
	case t.Number > next:
		refused.Faults = []string{fmt.Sprintf(NumberFaultPrefix+"%d leaves a gap; the next number is %d", t.Number, next)}
		return refused, true
	}
	r, known := s.Ticket(t.Number)
	switch {
	case !known:
		refused.Faults = []string{fmt.Sprintf(NumberFaultPrefix+"%d was decided so long ago that its record is no longer kept; the next number is %d", t.Number, next)}
	case r.TextHash == hashText(t.Text):
		return r.Verdict, true
	default:
		refused.Faults = []string{fmt.Sprintf(NumberFaultPrefix+"%d holds another ticket, sent by %q at %s and %s; the next number is %d",
			t.Number, r.Sender, time.UnixMilli(r.ReceivedAt).UTC().Format(time.RFC3339), verdictText(r.Verdict), next)}
	}
	return refused, true
}

func verdictText(v pollenlatch.Verdict) string {
	if v.Accepted {
		return fmt.Sprintf("accepted at version %d", v.Version)
	}
	return fmt.Sprintf("refused at version %d", v.Version)
}

// TicketFaults checks the content of a ticket against the state and returns its
// faults, each with its path in the ticket. It does not check the number.
func (s *State) TicketFaults(t *pollenlatch.Ticket) []string {
	var f faultList
	s.checkServices(&f, &t.Spec)
	s.checkCallers(&f, t.Spec.Callers)
	checkVoters(&f, t.Spec.Voters)
	if len(f) > maxReportedFaults {
		f = append(f[:maxReportedFaults:maxReportedFaults], fmt.Sprintf("%d more faults", len(f)-maxReportedFaults))
	}
	return f
}

type faultList []string

func (f *faultList) add(path, format string, args ...any) {
	*f = append(*f, path+": "+fmt.Sprintf(format, args...))
}

// checkName reports a name that is empty, too long or used twice.
func (f *faultList) checkName(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		f.add(path, "is empty")
	case len(name) > MaxNameBytes:
		f.add(path, "has %d bytes, more than %d", len(name), MaxNameBytes)
	case seen[name]:
		f.add(path, "%q is named twice", name)
	}
	seen[name] = true
}

func (s *State) checkServices(f *faultList, spec *pollenlatch.Spec) {
	seen := make(map[string]bool)
	total := 0
	for _, svc := range s.services {
		total += svc.NumRanges()
	}
	for i := range spec.Services {
		svc, path := &spec.Services[i], fmt.Sprintf("services[%d]", i)
		f.checkName(path+".name", svc.Name, seen)
		if svc.RangeBits > pollenlatch.MaxRangeBits {
			f.add(path+".ranges", "more than %d ranges", 1<<pollenlatch.MaxRangeBits)
			continue
		}
		if svc.MaxRun <= 0 {
			f.add(path+".maxrun", "is not above 0")
		}
		old, ok := s.services[svc.Name]
		switch {
		case !ok:
			total += svc.NumRanges()
		case old.RangeBits != svc.RangeBits:
			f.add(path+".ranges", "service %q has %d ranges, and their number is fixed when the service is created", svc.Name, old.NumRanges())
		case old.Keyed != svc.Keyed:
			f.add(path+".keyed", "service %q is %s, which is fixed when the service is created", svc.Name, keyedText(old.Keyed))
		}
	}
	for i, name := range spec.Remove {
		path := fmt.Sprintf("remove[%d]", i)
		f.checkName(path, name, seen)
		old, ok := s.services[name]
		if !ok {
			f.add(path, "service %q does not exist", name)
			continue
		}
		total -= old.NumRanges()
		if n := old.countOwned(); n > 0 {
			f.add(path, "service %q still has %d owned ranges or keys; stop its endpoints first", name, n)
		}
	}
	if total > MaxRanges {
		f.add("services", "all services together would have %d ranges, more than %d", total, MaxRanges)
	}
}

func keyedText(keyed bool) string {
	if keyed {
		return "divided by key"
	}
	return "not divided by key"
}

// countOwned returns the number of shards that have an owner.
func (s *service) countOwned() int {
	n := 0
	for _, p := range s.pages {
		if p == nil {
			continue
		}
		for _, h := range p.owners {
			if h&packedIDMask != 0 && h&flagUnowned == 0 {
				n++
			}
		}
	}
	for _, o := range s.hotKeys {
		if o.Instance != 0 {
			n++
		}
	}
	return n
}

func (s *State) checkCallers(f *faultList, list []pollenlatch.Caller) {
	seen := make(map[string]bool)
	total := len(s.callers)
	for i, c := range list {
		path := fmt.Sprintf("callers[%d]", i)
		f.checkName(path+".name", c.Name, seen)
		if !(c.Rate >= 0) {
			f.add(path+".rate", "is below 0")
		}
		if _, ok := s.callers[c.Name]; !ok {
			total++
		}
	}
	if total > MaxCallers {
		f.add("callers", "%d callers in all, more than %d", total, MaxCallers)
	}
}

func checkVoters(f *faultList, list []pollenlatch.Member) {
	if len(list) == 0 {
		return
	}
	seen := make(map[string]bool)
	for i, m := range list {
		path := fmt.Sprintf("voters[%d]", i)
		f.checkName(path+".name", m.Name, seen)
		if m.Incarnation == 0 {
			f.add(path+".incarnation", "is missing")
		}
		if m.Addr == "" {
			f.add(path+".addr", "is missing")
		}
	}
	if len(list)%2 == 0 || len(list) > MaxVoters {
		f.add("voters", "%d voters; a group has 1, 3 or 5", len(list))
	}
}

// applySpec applies the content of an accepted ticket.
func (d *draft) applySpec(spec *pollenlatch.Spec) {
	if len(spec.Services) > 0 || len(spec.Remove) > 0 {
		d.services = cloneMap(d.services)
	}
	for _, svc := range spec.Services {
		old, ok := d.services[svc.Name]
		if !ok {
			added := newService(svc)
			added.trackedSince = d.version
			d.services[svc.Name] = added
			continue
		}
		c := *old
		c.Service = svc
		d.services[svc.Name] = &c
	}
	for _, name := range spec.Remove {
		delete(d.services, name)
	}
	if len(spec.Callers) > 0 {
		d.callers = cloneMap(d.callers)
	}
	for _, c := range spec.Callers {
		d.callers[c.Name] = c
	}
	if len(spec.Voters) > 0 {
		d.voters = slices.Clone(spec.Voters)
	}
}
