package store

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
)

// memoryFolder is a Folder in memory that simulates power loss and failing
// operations.
type memoryFolder struct {
	names     map[string]*memoryContent
	synced    map[string]*memoryContent
	random    *rand.Rand
	failAfter int   // number of operations until one fails, including that one; 0 is never
	err       error // returned by the failing operation
}

type memoryContent struct {
	written, synced []byte
}

func newMemoryFolder(seed uint64) *memoryFolder {
	return &memoryFolder{
		names: map[string]*memoryContent{}, synced: map[string]*memoryContent{}, random: rand.New(rand.NewPCG(seed, 0)),
	}
}

// countOperation returns the error if this operation is the one to fail.
func (m *memoryFolder) countOperation() error {
	if m.failAfter > 0 {
		m.failAfter--
		if m.failAfter == 0 {
			return m.err
		}
	}
	return nil
}

// crash simulates a power loss. It keeps what was synced, and a random part of the
// unsynced names and content, which may be damaged.
func (m *memoryFolder) crash() {
	m.failAfter = 0
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
		if extra := len(c.written) - len(kept); extra > 0 {
			tail := slices.Clone(c.written[len(kept) : len(kept)+m.random.IntN(extra+1)])
			if len(tail) > 0 && m.random.IntN(2) == 0 {
				tail[m.random.IntN(len(tail))] ^= 0x55
			}
			kept = append(kept, tail...)
		}
		c.written, c.synced = kept, slices.Clone(kept)
	}
}

func (m *memoryFolder) Create(name string) (File, error) {
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	if m.names[name] != nil {
		return nil, fs.ErrExist
	}
	m.names[name] = &memoryContent{}
	return &memoryFile{m, m.names[name]}, nil
}

func (m *memoryFolder) Append(name string) (File, error) {
	if m.names[name] == nil {
		return nil, fs.ErrNotExist
	}
	return &memoryFile{m, m.names[name]}, m.countOperation()
}

func (m *memoryFolder) Read(name string) ([]byte, error) {
	if m.names[name] == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(m.names[name].written), m.countOperation()
}

func (m *memoryFolder) List() ([]string, error) {
	return slices.Collect(maps.Keys(m.names)), m.countOperation()
}

func (m *memoryFolder) Rename(from, to string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memoryFolder) Remove(name string) error {
	if m.names[name] == nil {
		return fs.ErrNotExist
	}
	delete(m.names, name)
	return m.countOperation()
}

func (m *memoryFolder) Sync() error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.synced = maps.Clone(m.names)
	return nil
}

func (m *memoryFolder) Lock() (io.Closer, error) { return io.NopCloser(nil), nil }

type memoryFile struct {
	folder  *memoryFolder
	content *memoryContent
}

var errDiskFailed = errors.New("input/output error")

func (f *memoryFile) Write(b []byte) (int, error) {
	n := len(b)
	err := f.folder.countOperation()
	if err != nil {
		n = f.folder.random.IntN(n)
	}
	f.content.written = append(f.content.written, b[:n]...)
	return n, err
}

func (f *memoryFile) Truncate(size int64) error {
	f.content.written = f.content.written[:size]
	return f.folder.countOperation()
}

func (f *memoryFile) Sync() error {
	if err := f.folder.countOperation(); err != nil {
		return err
	}
	f.content.synced = slices.Clone(f.content.written)
	return nil
}

func (f *memoryFile) Close() error { return nil }
