package daemon

import (
	"errors"
	"io"

	"pollenlatch"
	"pollenlatch/quorum"
	"pollenlatch/store"
)

// Voter is the additional configuration of a daemon that is a voter.
type Voter struct {
	Self          pollenlatch.Member
	InitialVoters []pollenlatch.Member // of a new group; their incarnations are 0 because they are known only after the first contact
	Disk          Disk
	RecoveredLog  quorum.Start // content of the data folder
}

// Disk stores a voter's log.
type Disk interface {
	Save(p quorum.Persist) error
	io.Closer
}

// OpenVoter opens the data folder of a voter. The error is that of package store,
// or ErrConfig when the folder belongs to another voter.
func OpenVoter(folder, name, addr string, initialVoters []pollenlatch.Member) (*Voter, error) {
	logStore, err := store.Open(store.Dir(folder))
	if err != nil {
		return nil, voterError(folder, err)
	}
	id := logStore.Identity()
	if id.Name != name {
		return nil, errors.Join(wrongVoterError(folder, id.Name, name), logStore.Close())
	}
	return &Voter{
		Self:          pollenlatch.Member{Name: name, Incarnation: id.Incarnation, Addr: addr},
		InitialVoters: initialVoters,
		Disk:          logStore,
		RecoveredLog:  logStore.Start(pollenlatch.BootClock{}.Now()),
	}, nil
}
