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

// busy returns a state with something of everything that a snapshot holds.
func busy(t testingT) *world {
	w := newWorld(t, 4, "a", "b", "c")
	k := keyed("bale-7", 4)
	w.assign(rng(1), 1, 0, 0)
	w.assign(rng(2), 2, 0, 0)
	w.assign(k, 3, 0, 0)
	w.freeze(rng(2), 1)
	w.freeze(k, 2)
	w.expire(1)
	w.apply(pollenlatch.Command{Announce: &pollenlatch.Announce{
		Instance: 2,
		Lease:    w.lease(2),
		Endpoint: pollenlatch.Endpoint{Service: "listing", Slots: 10, Ready: true},
	}})
	w.ticket(2, "", pollenlatch.Spec{
		Callers: []pollenlatch.Caller{{Name: "mender", Rate: 2.5}},
		Voters:  []pollenlatch.Member{{Name: "a", Incarnation: 1, Addr: "127.0.0.1:1"}},
	})
	w.ticket(3, "bad", pollenlatch.Spec{Remove: []string{"none"}})
	return w
}

// A damaged snapshot that loads would give a daemon another owner table than
// the group has.
func TestLoadRefuses(t *testing.T) {
	good := snapshot(t, busy(t).s)
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
	for name, spoil := range map[string]func(*State){
		"fence after version": func(s *State) { s.version = 1 },
		"owner without lease": func(s *State) {
			s.instances = s.instances.with(3, &instance{Instance: pollenlatch.Instance{ID: 3, Name: "c"}})
		},
		"instance above last": func(s *State) { s.last = 2 },
		"two of one name": func(s *State) {
			i, _ := s.Instance(1)
			i.ID = 2
			s.instances = s.instances.with(2, &instance{Instance: i})
		},
		"missing record":       func(s *State) { s.tickets.last++ },
		"text of another sum":  func(s *State) { s.tickets.texts = []string{"x", "", "bad"} },
		"key of another range": func(s *State) { s.services["listing"].keys = map[string]pollenlatch.Owner{"": {Fence: 1}} },
		"frozen without owner": func(s *State) { s.services["listing"].pages[0].setNext(9, 2) },
	} {
		t.Run(name, func(t *testing.T) {
			s := busy(t).s
			spoil(s)
			defer func() { require.Nil(t, recover()) }()
			b, err := encodeSpoiled(s)
			if err == nil {
				_, err = Load(b)
			}
			require.Error(t, err)
		})
	}
}

// encodeSpoiled encodes a state that may lack what Snapshot relies on.
func encodeSpoiled(s *State) (b []byte, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("snapshot: %v", r)
		}
	}()
	return s.Snapshot()
}

// A snapshot that passes the checksum but was made by a faulty program must be
// refused or load as a state that works; it must not crash the process.
func FuzzLoad(f *testing.F) {
	for _, s := range []*State{new(State), newWorld(f, 0).s, newWorld(f, 10, "a").s, busy(f).s} {
		b := snapshot(f, s)
		f.Add(b[len(magic) : len(b)-sumSize])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := Load(seal(body))
		if err != nil {
			return
		}
		b := snapshot(t, s)
		again, err := Load(b)
		require.NoError(t, err)
		require.Equal(t, b, snapshot(t, again))
		w := &world{t: t, s: s}
		for id := range pollenlatch.InstanceID(4) {
			w.assign(rng(0), id, w.fence(rng(0)), 0)
			w.expire(id)
		}
		w.join("z", 1)
		s.Endpoints("listing")
		s.Owner("listing", "k")
	})
}

// The checksum covers the magic, so that a snapshot of another format with a
// matching sum is refused too.
func TestLoadRefusesOtherFormat(t *testing.T) {
	b := snapshot(t, new(State))
	b = []byte(strings.Replace(string(b[:len(b)-sumSize]), magic, "plstate9", 1))
	_, err := Load(binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)))
	require.ErrorIs(t, err, ErrFormat)
	var se *SnapshotError
	require.ErrorAs(t, err, &se)
}

// A command that was decoded from the network must be applied or rejected; it
// must not crash the voters one after the other.
func FuzzApply(f *testing.F) {
	for _, c := range []pollenlatch.Command{
		{Ticket: &pollenlatch.Ticket{Number: 4, Text: "x", Spec: pollenlatch.Spec{Services: []pollenlatch.Service{service1("listing", 4)}, Remove: []string{"x"}}}},
		{Join: &pollenlatch.Join{Name: "a", Incarnation: 3}},
		{Expire: &pollenlatch.Expire{Instance: 2, Lease: 3}},
		{Announce: &pollenlatch.Announce{Instance: 2, Lease: 3, Endpoint: pollenlatch.Endpoint{Service: "claims"}}},
		{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{{Shard: keyed("k", 4), To: 2}, {Shard: rng(1), To: 3, ExpectedFence: 5}}}},
		{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{{Shard: rng(2), To: 3, ExpectedFence: 6}}}},
	} {
		b, err := pollenlatch.Encode(&c)
		require.NoError(f, err)
		f.Add(b)
	}
	start := busy(f).s
	f.Fuzz(func(t *testing.T, b []byte) {
		var c pollenlatch.Command
		if pollenlatch.Decode(b, &c) != nil {
			return
		}
		s, _ := start.Apply(start.Version()+1, &c)
		again, _ := start.Apply(start.Version()+1, &c)
		want := snapshot(t, s)
		require.Equal(t, want, snapshot(t, again))
		_, err := Load(want)
		require.NoError(t, err)
	})
}
