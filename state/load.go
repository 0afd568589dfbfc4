package state

import (
	"encoding/binary"
	"errors"
	"fmt"

	"pollenlatch"
)

// Load decodes a snapshot. The error is a *SnapshotError when the snapshot is
// damaged or inconsistent.
func Load(b []byte) (*State, error) {
	body, err := unframe(b)
	if err != nil {
		return nil, &SnapshotError{Err: err}
	}
	s, err := decodeState(body)
	if err != nil {
		return nil, &SnapshotError{Err: err}
	}
	return s, nil
}

// Check always returns nil: decodeState checks the content while it builds the
// state.
func (*snapshotProto) Check() error { return nil }

func decodeState(body []byte) (*State, error) {
	var msg snapshotProto
	if err := pollenlatch.Decode(body, &msg); err != nil {
		return nil, err
	}
	s := &State{version: msg.Version, lastInstanceID: msg.LastInstanceID, voters: msg.Voters}
	steps := []func(*snapshotProto) error{s.loadEvacuations, s.loadInstances, s.loadServices, s.loadCallers, s.loadTickets, s.loadItems, s.loadSuspects}
	for _, step := range steps {
		if err := step(&msg); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *State) loadSuspects(msg *snapshotProto) error {
	if len(msg.Suspects) == 0 && len(msg.EndedServers) == 0 {
		return nil
	}
	if len(msg.Suspects) > MaxSuspects || len(msg.EndedServers) > maxCountedServers {
		return fmt.Errorf("too many suspects: %d, and %d ended servers", len(msg.Suspects), len(msg.EndedServers))
	}
	counted := make([]pollenlatch.Incarnation, 0, len(msg.EndedServers))
	for _, e := range msg.EndedServers {
		counted = append(counted, e.Server)
	}
	s.suspects = newSuspectSet(msg.Suspects, counted)
	return nil
}

func (s *State) loadInstances(msg *snapshotProto) error {
	if msg.LastInstanceID > MaxInstanceID || len(msg.Instances) > MaxInstances {
		return fmt.Errorf("too many instances: %d, with IDs up to %d", len(msg.Instances), msg.LastInstanceID)
	}
	s.endpointsByService = make(map[string]*endpointList)
	s.idsByName.buckets = make([][]nameEntry, numNameBuckets)
	var previous pollenlatch.InstanceID
	for _, i := range msg.Instances {
		id := i.Instance.ID
		if err := s.checkInstance(i, previous); err != nil {
			return fmt.Errorf("instance %d: %w", id, err)
		}
		if s.idsByName.get(i.Instance.Name) != 0 {
			return fmt.Errorf("instance %d: name %q is used twice", id, i.Instance.Name)
		}
		previous = id
		i.Instance.Evacuated = s.evacuations.has(i.Instance.DC)
		s.addInstance(&instance{Instance: i.Instance, leaseEndedAt: i.LeaseEndedAt})
	}
	return nil
}

// addInstance adds a loaded instance to a state that is not shared yet.
func (s *State) addInstance(i *instance) {
	b := &s.idsByName.buckets[bucketOf(i.Name)]
	*b = append(*b, nameEntry{i.Name, i.ID})
	s.instances.setInPlace(uint64(i.ID), i)
	s.instanceCount++
	service := listedService(i)
	if service == "" {
		return
	}
	if s.endpointsByService[service] == nil {
		s.endpointsByService[service] = new(endpointList)
	}
	e := s.endpointsByService[service]
	e.ids = append(e.ids, i.ID)
}

func (s *State) checkInstance(i instanceProto, previous pollenlatch.InstanceID) error {
	switch {
	case i.Instance.ID <= previous || i.Instance.ID > s.lastInstanceID:
		return fmt.Errorf("ID is not above %d, or exceeds the highest ID %d", previous, s.lastInstanceID)
	case i.Instance.Name == "":
		return pollenlatch.ErrNoName
	case pollenlatch.Version(i.Instance.Lease) > s.version || i.LeaseEndedAt > s.version:
		return fmt.Errorf("lease %d, or the end of the last lease, is later than version %d", i.Instance.Lease, s.version)
	}
	return nil
}

func (s *State) loadServices(msg *snapshotProto) error {
	if len(msg.Services) > 0 {
		s.services = make(map[string]*service, len(msg.Services))
	}
	total := 0
	for i := range msg.Services {
		svc, err := s.loadService(&msg.Services[i], &total)
		if err != nil {
			return fmt.Errorf("service %q: %w", msg.Services[i].Service.Name, err)
		}
		s.services[svc.Name] = svc
	}
	return nil
}

func (s *State) loadService(msg *serviceProto, total *int) (*service, error) {
	if msg.Service.Name == "" {
		return nil, pollenlatch.ErrNoName
	}
	if _, ok := s.services[msg.Service.Name]; ok {
		return nil, errors.New("occurs twice")
	}
	if msg.Service.RangeBits > pollenlatch.MaxRangeBits {
		return nil, fmt.Errorf("%d range bits exceed the limit of %d", msg.Service.RangeBits, pollenlatch.MaxRangeBits)
	}
	if *total += msg.Service.NumRanges(); *total > MaxRanges {
		return nil, fmt.Errorf("more than %d ranges in all", MaxRanges)
	}
	svc := newService(msg.Service)
	svc.trackedSince = s.version
	if err := s.decodeTable(svc, msg.Table); err != nil {
		return nil, err
	}
	for _, t := range msg.Tokens {
		if !svc.hasRange(t.Range) {
			return nil, fmt.Errorf("token for range %d, which does not exist", t.Range)
		}
		p := &svc.pages[t.Range>>ownerPageShift]
		if *p == nil {
			*p = &ownerPage{version: s.version}
		}
		(*p).setToken(int(t.Range&ownerPageMask), t.Token)
	}
	return svc, s.loadKeys(svc, msg.HotKeys)
}

func (s *State) loadKeys(svc *service, list []hotKeyProto) error {
	if len(list) > MaxHotKeys {
		return fmt.Errorf("%d hot keys exceed the limit of %d", len(list), MaxHotKeys)
	}
	if len(list) > 0 {
		svc.hotKeys = make(map[string]pollenlatch.Owner, len(list))
	}
	for _, k := range list {
		o := pollenlatch.Owner{
			Shard:     svc.shard(hotKeyRange(svc, k.Key)),
			Instance:  k.Instance,
			Fence:     k.Fence,
			Previous:  k.Previous,
			Next:      k.Next,
			NoRecords: k.NoRecords,
		}
		o.Key = k.Key
		if _, ok := svc.hotKeys[k.Key]; ok || k.Key == "" || len(k.Key) > MaxKeyBytes {
			return fmt.Errorf("key %q is empty, too long or occurs twice", k.Key)
		}
		if o.Fence == 0 {
			return fmt.Errorf("%s has no fence", describeShard(o.Shard))
		}
		if err := s.checkOwner(o); err != nil {
			return err
		}
		svc.hotKeys[k.Key] = o
	}
	return nil
}

// hotKeyRange returns the range of a hot key. It is 0 for a key that is not valid
// for the service; the caller rejects empty and long keys.
func hotKeyRange(svc *service, key string) pollenlatch.Range {
	r, _ := svc.RangeOf(key)
	return r
}

var errMalformedTable = errors.New("owner table is malformed")

// decodeTable decodes the output of encodeTable.
func (s *State) decodeTable(svc *service, b []byte) error {
	// A range takes at least two bytes. This is checked first, so that a short
	// input can't allocate the memory of a large table.
	if len(b) < 2*svc.NumRanges() {
		return errMalformedTable
	}
	d := tableDecoder{b: b}
	var fence pollenlatch.Fence
	for r := range svc.NumRanges() {
		o, err := d.owner(fence)
		if err != nil {
			return err
		}
		fence = o.Fence
		o.Shard = svc.shard(pollenlatch.Range(r))
		if err := s.checkOwner(o); err != nil {
			return err
		}
		if o.Fence == 0 && o.Previous == 0 && !o.NoRecords {
			continue
		}
		p := &svc.pages[r>>ownerPageShift]
		if *p == nil {
			*p = &ownerPage{version: s.version}
		}
		(*p).set(r&ownerPageMask, o)
	}
	if len(d.b) > 0 {
		return errMalformedTable
	}
	return nil
}

// checkOwner returns an error for an owner record that no sequence of commands
// can produce.
func (s *State) checkOwner(o pollenlatch.Owner) error {
	owner := s.instances.get(uint64(o.Instance))
	switch {
	case pollenlatch.Version(o.Fence) > s.version:
		return fmt.Errorf("%s has fence %d, later than version %d", describeShard(o.Shard), o.Fence, s.version)
	case o.Instance != 0 && (o.Previous != 0 || o.Fence == 0 || owner == nil || !owner.Alive()):
		return fmt.Errorf("%s is owned by instance %d without a lease or fence", describeShard(o.Shard), o.Instance)
	case o.Instance == 0 && (o.Next != 0 || o.Previous > s.lastInstanceID):
		return fmt.Errorf("%s has no owner but is being handed over, or its previous owner, instance %d, does not exist", describeShard(o.Shard), o.Previous)
	case o.Next != 0:
		if next := s.instances.get(uint64(o.Next)); next == nil || !next.Alive() || (o.Next == o.Instance && o.Key == "") {
			return fmt.Errorf("%s is being handed over to instance %d, which is no valid target", describeShard(o.Shard), o.Next)
		}
	}
	return nil
}

// tableDecoder decodes varints. It accepts only the shortest encoding of a
// number, so that equal states have equal encodings.
type tableDecoder struct{ b []byte }

// owner decodes the owner record of a range. previous is the fence of the range
// before.
func (d *tableDecoder) owner(previous pollenlatch.Fence) (o pollenlatch.Owner, err error) {
	code, err := d.uvarint()
	if err != nil {
		return o, err
	}
	delta, err := d.uvarint()
	if err != nil {
		return o, err
	}
	id := code >> codeBits
	if id > MaxInstanceID {
		return o, errMalformedTable
	}
	if code&codeUnowned != 0 {
		o.Previous = pollenlatch.InstanceID(id)
	} else {
		o.Instance = pollenlatch.InstanceID(id)
	}
	if o.Instance == 0 && code&codeUnowned == 0 {
		return o, errMalformedTable
	}
	o.NoRecords = code&codeNoRecords != 0
	o.Fence = previous + pollenlatch.Fence(int64(delta>>1)^-int64(delta&1))
	if code&codeFrozen != 0 {
		next, err := d.uvarint()
		if err != nil || next == 0 || next > MaxInstanceID {
			return o, errMalformedTable
		}
		o.Next = pollenlatch.InstanceID(next)
	}
	return o, nil
}

func (d *tableDecoder) uvarint() (uint64, error) {
	v, n := binary.Uvarint(d.b)
	if n <= 0 || (n > 1 && d.b[n-1] == 0) {
		return 0, errMalformedTable
	}
	d.b = d.b[n:]
	return v, nil
}

func (s *State) loadCallers(msg *snapshotProto) error {
	if len(msg.Callers) > MaxCallers {
		return fmt.Errorf("%d callers exceed the limit of %d", len(msg.Callers), MaxCallers)
	}
	if len(msg.Callers) > 0 {
		s.callers = make(map[string]pollenlatch.Caller, len(msg.Callers))
	}
	for _, c := range msg.Callers {
		if _, ok := s.callers[c.Name]; ok || c.Name == "" {
			return fmt.Errorf("caller %q has no name or occurs twice", c.Name)
		}
		s.callers[c.Name] = c
	}
	return nil
}

func (s *State) loadTickets(msg *snapshotProto) error {
	h := ticketHistory{lastNumber: msg.LastTicket}
	first := h.firstKept()
	if uint64(len(msg.TicketRecords)) != h.lastNumber+1-first {
		return fmt.Errorf("%d ticket records for the tickets %d to %d", len(msg.TicketRecords), first, h.lastNumber)
	}
	for n, r := range msg.TicketRecords {
		number := first + uint64(n)
		switch {
		case r.Verdict.Number != number || r.Verdict.Version > s.version:
			return fmt.Errorf("ticket %d has the verdict of ticket %d at version %d", number, r.Verdict.Number, r.Verdict.Version)
		case len(r.TextHash) != textHashBytes:
			return fmt.Errorf("ticket %d has a text hash of %d bytes", number, len(r.TextHash))
		case r.HasText && hashText(r.Text) != string(r.TextHash):
			return fmt.Errorf("text of ticket %d does not match its hash", number)
		case !r.HasText && (len(h.texts) > 0 || r.Text != ""):
			return fmt.Errorf("ticket %d lacks its text, or has one that is not marked", number)
		}
		h.appendLoaded(number, r)
	}
	if len(h.texts) > MaxTicketTexts || h.textBytes > MaxTicketTextBytes {
		return fmt.Errorf("%d ticket texts with %d bytes in all exceed the limits", len(h.texts), h.textBytes)
	}
	s.tickets = h
	return nil
}

// appendLoaded adds a loaded record to a history that is not shared yet.
func (h *ticketHistory) appendLoaded(number uint64, r ticketRecordProto) {
	h.records.setInPlace(number, &TicketRecord{
		Number:     number,
		TextHash:   string(r.TextHash),
		Sender:     r.Sender,
		ReceivedAt: r.ReceivedAt,
		Verdict:    r.Verdict,
	})
	if r.HasText {
		h.texts = append(h.texts, r.Text)
		h.textBytes += len(r.Text)
	}
}
