package daemon

import (
	"errors"
	"io"

	"pollenlatch"
	"pollenlatch/quorum"
	"pollenlatch/store"
)

// Voter is what a voter has besides: its identity, its log, and the first
// voters of its group.
type Voter struct {
	Self          pollenlatch.Member
	InitialVoters []pollenlatch.Member // incarnations are 0: they show at the first contact
	Disk          Disk
	RecoveredLog  quorum.Start
}

// Disk holds what a voter must not forget.
type Disk interface {
	Save(p quorum.Persist) error
	io.Closer
}

// OpenVoter opens the data folder of a voter. The error is that of package
// store, or ErrConfig when the folder belongs to another voter or the voter is
// not among the first ones and has no address.
func OpenVoter(folder, name, addr string, genesis []pollenlatch.Member) (*Voter, error) {
	s, err := store.Open(store.Dir(folder))
	if err != nil {
		return nil, voterError(folder, err)
	}
	id := s.Identity()
	if id.Name != name {
		return nil, errors.Join(otherVoter(folder, id.Name, name), s.Close())
	}
	return &Voter{
		Self:          pollenlatch.Member{Name: name, Incarnation: id.Incarnation, Addr: addr},
		InitialVoters: genesis,
		Disk:          s,
		RecoveredLog:  s.Start(pollenlatch.BootClock{}.Now()),
	}, nil
}
