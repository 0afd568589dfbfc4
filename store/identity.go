package store

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"pollenlatch"
)

const (
	identityName  = "identity"
	temporaryName = "new" // a file that is being written
)

// Errors of a data folder without an identity, and of Init on a used one.
var (
	ErrNoIdentity = errors.New("data folder has no identity; create one with the init command")
	ErrNotEmpty   = errors.New("data folder already holds an identity or a log")
)

// Identity identifies the voter that a data folder belongs to.
type Identity struct {
	Name        string                  `protobuf:"bytes,1,opt,name=name"`
	Incarnation pollenlatch.Incarnation `protobuf:"varint,2,opt,name=incarnation"`
}

// Check returns an error unless name and incarnation are set.
func (i *Identity) Check() error {
	if i.Name == "" || i.Incarnation == 0 {
		return errors.New("identity has no name or incarnation")
	}
	return nil
}

// Init writes an identity with a random incarnation into an empty folder. It returns
// ErrNotEmpty when the folder was used before.
func Init(folder Folder, name string) (Identity, error) {
	if name == "" {
		return Identity{}, pollenlatch.ErrNoName
	}
	if d, ok := folder.(Dir); ok {
		if err := d.Make(); err != nil {
			return Identity{}, err
		}
	}
	lock, err := folder.Lock()
	if err != nil {
		return Identity{}, err
	}
	defer func() { _ = lock.Close() }()
	names, err := folder.List()
	if err != nil {
		return Identity{}, fmt.Errorf("list data folder: %w", err)
	}
	if slices.ContainsFunc(names, isStoreFile) {
		return Identity{}, ErrNotEmpty
	}
	id := Identity{Name: name, Incarnation: newIncarnation()}
	frame, err := encodeFrame(0, &id)
	if err != nil {
		return Identity{}, err
	}
	if err := writeFile(folder, identityName, frame); err != nil {
		return Identity{}, fmt.Errorf("write identity: %w", err)
	}
	return id, nil
}

// isStoreFile reports whether a file name is that of an identity, a log segment or
// a snapshot.
func isStoreFile(name string) bool {
	_, isLog := parseName(logPrefix, name)
	_, isSnapshot := parseName(snapshotPrefix, name)
	return name == identityName || isLog || isSnapshot
}

func newIncarnation() pollenlatch.Incarnation {
	for {
		var b [8]byte
		_, _ = rand.Read(b[:]) // never returns an error; it crashes the program instead
		if i := binary.LittleEndian.Uint64(b[:]); i != 0 {
			return pollenlatch.Incarnation(i)
		}
	}
}

func readIdentity(folder Folder, names []string) (Identity, error) {
	if !slices.Contains(names, identityName) {
		return Identity{}, ErrNoIdentity
	}
	var id Identity
	if err := readFile(folder, identityName, &id); err != nil {
		return Identity{}, err
	}
	return id, nil
}

// writeFile replaces a file atomically: it writes a temporary file, syncs it, renames
// it and syncs the folder.
func writeFile(folder Folder, name string, content []byte) error {
	if err := folder.Remove(temporaryName); err != nil && !isNotExist(err) {
		return err
	}
	f, err := folder.Create(temporaryName)
	if err != nil {
		return noSpace(err)
	}
	if _, err := f.Write(content); err != nil {
		_ = f.Close()
		return noSpace(err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := folder.Rename(temporaryName, name); err != nil {
		return err
	}
	return folder.Sync()
}

// readFile reads a file that holds exactly one frame.
func readFile(folder Folder, name string, v pollenlatch.Checker) error {
	b, err := folder.Read(name)
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	_, payload, rest, ok := parseFrame(b)
	if !ok || len(rest) > 0 {
		return fmt.Errorf("%w: %s cannot be read", ErrCorrupt, name)
	}
	if err := pollenlatch.Decode(payload, v); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrCorrupt, name, err)
	}
	return nil
}
