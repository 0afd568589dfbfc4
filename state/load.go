package state

import (
	"encoding/binary"
	"errors"
	"fmt"

	"pollenlatch"
)

// Load returns the state of a snapshot. The error is a *SnapshotError when the
// snapshot is damaged or contradicts itself.
func Load(b []byte) (*State, error) {
	body, err := unseal(b)
	if err != nil {
		return nil, &SnapshotError{Err: err}
	}
	s, err := load(body)
	if err != nil {
		return nil, &SnapshotError{Err: err}
	}
	return s, nil
}

// Check leaves the content to load, which builds the state step by step.
func (*image) Check() error { return nil }

func load(body []byte) (*State, error) {
	var img image
	if err := pollenlatch.Decode(body, &img); err != nil {
		return nil, err
	}
	s := &State{version: img.Version, last: img.Last, voters: img.Voters}
	steps := []func(*image) error{s.loadInstances, s.loadServices, s.loadCallers, s.loadTickets, s.loadItems}
	for _, step := range steps {
		if err := step(&img); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *State) loadInstances(img *image) error {
	if img.Last > MaxInstanceID || len(img.Instances) > MaxInstances {
		return fmt.Errorf("%d instances up to number %d are too many", len(img.Instances), img.Last)
	}
	s.endpoints = make(map[string]*endpoints)
	s.names.buckets = make([][]name, nameBuckets)
	var before pollenlatch.InstanceID
	for _, i := range img.Instances {
		id := i.Instance.ID
		if err := s.checkInstance(i, before); err != nil {
			return fmt.Errorf("instance %d: %w", id, err)
		}
		if s.names.get(i.Instance.Name) != 0 {
			return fmt.Errorf("instance %d: name %q is used twice", id, i.Instance.Name)
		}
		before = id
		s.addInstance(&instance{Instance: i.Instance, ended: i.Ended})
	}
	return nil
}

// addInstance puts a loaded instance into a state that nobody else holds.
func (s *State) addInstance(i *instance) {
	b := &s.names.buckets[bucketOf(i.Name)]
	*b = append(*b, name{i.Name, i.ID})
	s.instances.put(uint64(i.ID), i)
	s.count++
	service := listedAs(i)
	if service == "" {
		return
	}
	if s.endpoints[service] == nil {
		s.endpoints[service] = new(endpoints)
	}
	e := s.endpoints[service]
	e.ids = append(e.ids, i.ID)
}

func (s *State) checkInstance(i instanceImage, before pollenlatch.InstanceID) error {
	switch {
	case i.Instance.ID <= before || i.Instance.ID > s.last:
		return fmt.Errorf("is out of order after %d, or above %d", before, s.last)
	case i.Instance.Name == "":
		return pollenlatch.ErrNoName
	case pollenlatch.Version(i.Instance.Lease) > s.version || i.Ended > s.version:
		return fmt.Errorf("lease %d is later than version %d", i.Instance.Lease, s.version)
	}
	return nil
}

func (s *State) loadServices(img *image) error {
	if len(img.Services) > 0 {
		s.services = make(map[string]*service, len(img.Services))
	}
	total := 0
	for i := range img.Services {
		svc, err := s.loadService(&img.Services[i], &total)
		if err != nil {
			return fmt.Errorf("service %q: %w", img.Services[i].Service.Name, err)
		}
		s.services[svc.Name] = svc
	}
	return nil
}

func (s *State) loadService(img *serviceImage, total *int) (*service, error) {
	if img.Service.Name == "" {
		return nil, pollenlatch.ErrNoName
	}
	if _, ok := s.services[img.Service.Name]; ok {
		return nil, errors.New("occurs twice")
	}
	if img.Service.RangeBits > pollenlatch.MaxRangeBits {
		return nil, fmt.Errorf("%d bits are more than %d", img.Service.RangeBits, pollenlatch.MaxRangeBits)
	}
	if *total += img.Service.NumRanges(); *total > MaxRanges {
		return nil, fmt.Errorf("more than %d ranges in all", MaxRanges)
	}
	svc := newService(img.Service)
	svc.begun = s.version
	if err := s.decodeTable(svc, img.Table); err != nil {
		return nil, err
	}
	for _, t := range img.Tokens {
		if !svc.has(t.Range) {
			return nil, fmt.Errorf("token of range %d, which does not exist", t.Range)
		}
		p := &svc.pages[t.Range>>tableShift]
		if *p == nil {
			*p = &page{at: s.version}
		}
		(*p).setToken(int(t.Range&tableMask), t.Token)
	}
	return svc, s.loadKeys(svc, img.Keys)
}

func (s *State) loadKeys(svc *service, list []keyImage) error {
	if len(list) > MaxHotKeys {
		return fmt.Errorf("%d hot keys are more than %d", len(list), MaxHotKeys)
	}
	if len(list) > 0 {
		svc.keys = make(map[string]pollenlatch.Owner, len(list))
	}
	for _, k := range list {
		o := pollenlatch.Owner{
			Shard:     svc.shard(rangeOf(svc, k.Key)),
			Instance:  k.Instance,
			Fence:     k.Fence,
			Previous:  k.Last,
			Next:      k.Next,
			NoRecords: k.NoRecords,
		}
		o.Key = k.Key
		if _, ok := svc.keys[k.Key]; ok || k.Key == "" || len(k.Key) > MaxKeyBytes {
			return fmt.Errorf("key %q is empty, too long or occurs twice", k.Key)
		}
		if o.Fence == 0 {
			return fmt.Errorf("%s has no fence", text(o.Shard))
		}
		if err := s.checkOwner(o); err != nil {
			return err
		}
		svc.keys[k.Key] = o
	}
	return nil
}

// rangeOf returns the range of a key that has a record of its own; checks that
// follow refuse a key without one.
func rangeOf(svc *service, key string) pollenlatch.Range {
	r, _ := svc.RangeOf(key)
	return r
}

var errTable = errors.New("owner table is truncated or too long")

// decodeTable reads what encodeTable wrote.
func (s *State) decodeTable(svc *service, b []byte) error {
	// Two bytes are the least that a range takes. Checked first, so that a
	// short table does not cost the memory of a long one.
	if len(b) < 2*svc.NumRanges() {
		return errTable
	}
	d := decoder{b: b}
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
		p := &svc.pages[r>>tableShift]
		if *p == nil {
			*p = &page{at: s.version}
		}
		(*p).set(r&tableMask, o)
	}
	if len(d.b) > 0 {
		return errTable
	}
	return nil
}

// checkOwner refuses a record that no sequence of commands can make.
func (s *State) checkOwner(o pollenlatch.Owner) error {
	held := s.instances.get(uint64(o.Instance))
	switch {
	case pollenlatch.Version(o.Fence) > s.version:
		return fmt.Errorf("%s has fence %d, later than version %d", text(o.Shard), o.Fence, s.version)
	case o.Instance != 0 && (o.Previous != 0 || o.Fence == 0 || held == nil || !held.Alive()):
		return fmt.Errorf("%s is owned by instance %d without a lease or fence", text(o.Shard), o.Instance)
	case o.Instance == 0 && (o.Next != 0 || o.Previous > s.last):
		return fmt.Errorf("%s has no owner but is being handed over, or was owned by instance %d", text(o.Shard), o.Previous)
	case o.Next != 0:
		if next := s.instances.get(uint64(o.Next)); next == nil || !next.Alive() || (o.Next == o.Instance && o.Key == "") {
			return fmt.Errorf("%s is frozen to instance %d", text(o.Shard), o.Next)
		}
	}
	return nil
}

// decoder reads varints. It accepts only the shortest encoding of a number, so
// that a state has one encoding.
type decoder struct{ b []byte }

func (d *decoder) owner(before pollenlatch.Fence) (o pollenlatch.Owner, err error) {
	code, err := d.uvarint()
	if err != nil {
		return o, err
	}
	step, err := d.uvarint()
	if err != nil {
		return o, err
	}
	id := code >> codeBits
	if id > MaxInstanceID {
		return o, errTable
	}
	if code&codeUnowned != 0 {
		o.Previous = pollenlatch.InstanceID(id)
	} else {
		o.Instance = pollenlatch.InstanceID(id)
	}
	if o.Instance == 0 && code&codeUnowned == 0 {
		return o, errTable
	}
	o.NoRecords = code&codeNoRecords != 0
	o.Fence = before + pollenlatch.Fence(int64(step>>1)^-int64(step&1))
	if code&codeFrozen != 0 {
		next, err := d.uvarint()
		if err != nil || next == 0 || next > MaxInstanceID {
			return o, errTable
		}
		o.Next = pollenlatch.InstanceID(next)
	}
	return o, nil
}

func (d *decoder) uvarint() (uint64, error) {
	v, n := binary.Uvarint(d.b)
	if n <= 0 || (n > 1 && d.b[n-1] == 0) {
		return 0, errTable
	}
	d.b = d.b[n:]
	return v, nil
}

func (s *State) loadCallers(img *image) error {
	if len(img.Callers) > MaxCallers {
		return fmt.Errorf("%d callers are more than %d", len(img.Callers), MaxCallers)
	}
	if len(img.Callers) > 0 {
		s.callers = make(map[string]pollenlatch.Caller, len(img.Callers))
	}
	for _, c := range img.Callers {
		if _, ok := s.callers[c.Name]; ok || c.Name == "" {
			return fmt.Errorf("caller %q has no name or occurs twice", c.Name)
		}
		s.callers[c.Name] = c
	}
	return nil
}

func (s *State) loadTickets(img *image) error {
	h := history{last: img.Ticket}
	first := h.first()
	if uint64(len(img.Records)) != h.last+1-first {
		return fmt.Errorf("%d records for the tickets %d to %d", len(img.Records), first, h.last)
	}
	for n, r := range img.Records {
		number := first + uint64(n)
		switch {
		case r.Verdict.Number != number || r.Verdict.Version > s.version:
			return fmt.Errorf("ticket %d has a verdict of ticket %d at version %d", number, r.Verdict.Number, r.Verdict.Version)
		case len(r.Sum) != sumBytes:
			return fmt.Errorf("ticket %d has a sum of %d bytes", number, len(r.Sum))
		case r.HasText && sumOf(r.Text) != string(r.Sum):
			return fmt.Errorf("ticket %d has another text than its sum says", number)
		case !r.HasText && (len(h.texts) > 0 || r.Text != ""):
			return fmt.Errorf("ticket %d lacks its text", number)
		}
		h.add(number, r)
	}
	if len(h.texts) > MaxTicketTexts || h.bytes > MaxTicketTextBytes {
		return fmt.Errorf("%d ticket texts of %d bytes are too many", len(h.texts), h.bytes)
	}
	s.tickets = h
	return nil
}

// add puts a loaded record into a history that nobody else holds.
func (h *history) add(number uint64, r recordImage) {
	h.records.put(number, &TicketRecord{
		Number:     number,
		TextHash:   string(r.Sum),
		Sender:     r.Sender,
		ReceivedAt: r.At,
		Verdict:    r.Verdict,
	})
	if r.HasText {
		h.texts = append(h.texts, r.Text)
		h.bytes += len(r.Text)
	}
}
