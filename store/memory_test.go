package store

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
)

// memory is a folder whose crash keeps only what was synced, and of the rest
// whatever the random source says.
type memory struct {
	names  map[string]*content
	synced map[string]*content
	random *rand.Rand
	fail   int   // operations until one fails; 0 is never
	err    error // of the failing operation
}

type content struct {
	now, synced []byte
}

func newMemory(seed uint64) *memory {
	return &memory{
		names: map[string]*content{}, synced: map[string]*content{}, random: rand.New(rand.NewPCG(seed, 0)),
	}
}

func (m *memory) op() error {
	if m.fail > 0 {
		m.fail--
		if m.fail == 0 {
			return m.err
		}
	}
	return nil
}

// crash drops what was not synced, except for a random part of it.
func (m *memory) crash() {
	m.fail = 0
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		if m.random.IntN(2) == 0 {
			m.synced[name] = m.names[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.synced)) {
		if m.names[name] == nil && m.random.IntN(2) == 0 {
			delete(m.synced, name)
		}
	}
	m.names = maps.Clone(m.synced)
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		c := m.names[name]
		kept := slices.Clone(c.synced)
		if extra := len(c.now) - len(kept); extra > 0 {
			tail := slices.Clone(c.now[len(kept) : len(kept)+m.random.IntN(extra+1)])
			if len(tail) > 0 && m.random.IntN(2) == 0 {
				tail[m.random.IntN(len(tail))] ^= 0x55
			}
			kept = append(kept, tail...)
		}
		c.now, c.synced = kept, slices.Clone(kept)
	}
}

func (m *memory) Create(name string) (File, error) {
	if err := m.op(); err != nil {
		return nil, err
	}
	if m.names[name] != nil {
		return nil, fs.ErrExist
	}
	m.names[name] = &content{}
	return &memoryFile{m, m.names[name]}, nil
}

func (m *memory) Append(name string) (File, error) {
	if m.names[name] == nil {
		return nil, fs.ErrNotExist
	}
	return &memoryFile{m, m.names[name]}, m.op()
}

func (m *memory) Read(name string) ([]byte, error) {
	if m.names[name] == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(m.names[name].now), m.op()
}

func (m *memory) List() ([]string, error) { return slices.Collect(maps.Keys(m.names)), m.op() }

func (m *memory) Rename(from, to string) error {
	if err := m.op(); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memory) Remove(name string) error {
	if m.names[name] == nil {
		return fs.ErrNotExist
	}
	delete(m.names, name)
	return m.op()
}

func (m *memory) Sync() error {
	if err := m.op(); err != nil {
		return err
	}
	m.synced = maps.Clone(m.names)
	return nil
}

func (m *memory) Lock() (io.Closer, error) { return io.NopCloser(nil), nil }

type memoryFile struct {
	m *memory
	c *content
}

var errFull = errors.New("no space left on device")

func (f *memoryFile) Write(b []byte) (int, error) {
	n := len(b)
	err := f.m.op()
	if err != nil {
		n = f.m.random.IntN(n)
	}
	f.c.now = append(f.c.now, b[:n]...)
	return n, err
}

func (f *memoryFile) Truncate(size int64) error {
	f.c.now = f.c.now[:size]
	return f.m.op()
}

func (f *memoryFile) Sync() error {
	if err := f.m.op(); err != nil {
		return err
	}
	f.c.synced = slices.Clone(f.c.now)
	return nil
}

func (f *memoryFile) Close() error { return nil }
