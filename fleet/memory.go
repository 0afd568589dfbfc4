package fleet

import (
	"pollenlatch"
	"pollenlatch/daemon"
	"pollenlatch/quorum"
)

// volatile is a disk that keeps nothing: a voter on it must not be restarted.
type volatile struct{}

func (volatile) Save(quorum.Persist) error { return nil }

func genesisIncarnation(string) pollenlatch.Incarnation { return 1 }

func openVoter(_, name string, voters []pollenlatch.Member) (*daemon.Voter, error) {
	for _, v := range voters {
		if v.Name == name {
			return &daemon.Voter{Self: v, Genesis: voters, Disk: volatile{}}, nil
		}
	}
	return nil, daemon.ErrConfig
}
