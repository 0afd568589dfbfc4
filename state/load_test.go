package state

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// busyHarness returns a harness whose state has at least one of everything that a
// snapshot holds.
func busyHarness(t testingT) *harness {
	h := newHarness(t, 4, "a", "b", "c")
	k := keyShard("bale-7", 4)
	h.assign(rangeShard(1), 1, 0, 0)
	h.assign(rangeShard(2), 2, 0, 0)
	h.assign(k, 3, 0, 0)
	h.freeze(rangeShard(2), 1)
	h.freeze(k, 2)
	h.expire(1)
	h.apply(pollenlatch.Command{Announce: &pollenlatch.Announce{
		Instance: 2,
		Lease:    h.lease(2),
		Endpoint: pollenlatch.Endpoint{Service: "listing", Slots: 10, Ready: true},
	}})
	h.ticket(2, "", pollenlatch.Spec{
		Callers: []pollenlatch.Caller{{Name: "mender", Rate: 2.5}},
		Voters:  []pollenlatch.Member{{Name: "a", Incarnation: 1, Addr: "127.0.0.1:1"}},
	})
	h.ticket(3, "bad", pollenlatch.Spec{Remove: []string{"none"}})
	h.evacuate("nadia", false)
	h.evacuate("howrah", false)
	return h
}

// A daemon that loaded a damaged snapshot would have another owner table than the
// other daemons.
func TestLoadRejectsInvalidSnapshots(t *testing.T) {
	good := snapshot(t, busyHarness(t).state)
	_, err := Load(good)
	require.NoError(t, err)

	t.Run("any changed byte", func(t *testing.T) {
		for i := range good {
			bad := append([]byte(nil), good...)
			bad[i] ^= 0x40
			_, err := Load(bad)
			require.Error(t, err, "byte %d", i)
		}
	})
	t.Run("any truncation", func(t *testing.T) {
		for i := range good {
			_, err := Load(good[:i])
			require.Error(t, err, "%d bytes", i)
		}
	})
	for name, corrupt := range map[string]func(*State){
		"fence after version": func(s *State) { s.version = 1 },
		"owner without lease": func(s *State) {
			s.instances = s.instances.with(3, &instance{Instance: pollenlatch.Instance{ID: 3, Name: "c"}})
		},
		"instance above last": func(s *State) { s.lastInstanceID = 2 },
		"two of one name": func(s *State) {
			i, _ := s.Instance(1)
			i.ID = 2
			s.instances = s.instances.with(2, &instance{Instance: i})
		},
		"missing record":                  func(s *State) { s.tickets.lastNumber++ },
		"text of another hash":            func(s *State) { s.tickets.texts = []string{"x", "", "bad"} },
		"key of another range":            func(s *State) { s.services["listing"].hotKeys = map[string]pollenlatch.Owner{"": {Fence: 1}} },
		"evacuation later than the state": func(s *State) { s.evacuations.changedAt = s.version + 1 },
		"evacuations out of order":        func(s *State) { s.evacuations.dcs = []string{"nadia", "howrah"} },
		"evacuation without a name":       func(s *State) { s.evacuations.dcs = []string{""} },
		"frozen without owner":            func(s *State) { s.services["listing"].pages[0].setNext(9, 2) },
	} {
		t.Run(name, func(t *testing.T) {
			s := busyHarness(t).state
			corrupt(s)
			defer func() { require.Nil(t, recover()) }()
			b, err := encodeCorrupted(s)
			if err == nil {
				_, err = Load(b)
			}
			require.Error(t, err)
		})
	}
}

// encodeCorrupted encodes a state that may violate what Snapshot relies on. It
// returns a panic as an error.
func encodeCorrupted(s *State) (b []byte, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("snapshot: %v", r)
		}
	}()
	return s.Snapshot()
}

// A snapshot with a valid checksum that was written by a faulty program must be
// rejected or load as a consistent state. It must not crash the process.
func FuzzLoad(f *testing.F) {
	for _, s := range []*State{new(State), newHarness(f, 0).state, newHarness(f, 10, "a").state, busyHarness(f).state} {
		b := snapshot(f, s)
		f.Add(b[len(snapshotMagic) : len(b)-checksumSize])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := Load(frame(body))
		if err != nil {
			return
		}
		b := snapshot(t, s)
		reloaded, err := Load(b)
		require.NoError(t, err)
		require.Equal(t, b, snapshot(t, reloaded))
		h := &harness{t: t, state: s}
		for id := range pollenlatch.InstanceID(4) {
			h.assign(rangeShard(0), id, h.fence(rangeShard(0)), 0)
			h.expire(id)
		}
		h.join("z", 1)
		s.Endpoints("listing")
		s.Owner("listing", "k")
	})
}

// A snapshot of another format must be rejected although its checksum, which
// covers the magic, is valid.
func TestLoadRejectsOtherFormat(t *testing.T) {
	b := snapshot(t, new(State))
	b = []byte(strings.Replace(string(b[:len(b)-checksumSize]), snapshotMagic, "plstate9", 1))
	_, err := Load(binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)))
	require.ErrorIs(t, err, ErrFormat)
	var se *SnapshotError
	require.ErrorAs(t, err, &se)
}

// Any command that can be decoded must be applied or rejected: one that panics
// would crash all voters one after the other.
func FuzzApply(f *testing.F) {
	for _, c := range []pollenlatch.Command{
		{Ticket: &pollenlatch.Ticket{Number: 4, Text: "x", Spec: pollenlatch.Spec{Services: []pollenlatch.Service{keyedService("listing", 4)}, Remove: []string{"x"}}}},
		{Join: &pollenlatch.Join{Name: "a", Incarnation: 3}},
		{Expire: &pollenlatch.Expire{Instance: 2, Lease: 3}},
		{Announce: &pollenlatch.Announce{Instance: 2, Lease: 3, Endpoint: pollenlatch.Endpoint{Service: "claims"}}},
		{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{{Shard: keyShard("k", 4), To: 2}, {Shard: rangeShard(1), To: 3, ExpectedFence: 5}}}},
		{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{{Shard: rangeShard(2), To: 3, ExpectedFence: 6}}}},
		{Evacuate: &pollenlatch.Evacuate{DC: "nadia", Finish: true, Known: 100}},
	} {
		b, err := pollenlatch.Encode(&c)
		require.NoError(f, err)
		f.Add(b)
	}
	start := busyHarness(f).state
	f.Fuzz(func(t *testing.T, b []byte) {
		var c pollenlatch.Command
		if pollenlatch.Decode(b, &c) != nil {
			return
		}
		s, _ := start.Apply(start.Version()+1, &c)
		reloaded, _ := start.Apply(start.Version()+1, &c)
		want := snapshot(t, s)
		require.Equal(t, want, snapshot(t, reloaded))
		_, err := Load(want)
		require.NoError(t, err)
	})
}
