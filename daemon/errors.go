package daemon

import (
	"errors"
	"fmt"

	"github.com/samber/oops"

	"pollenlatch/store"
)

// Errors of a daemon. Those that an operator meets at the start carry a hint at
// what to do (oops.AsOops).
var (
	ErrConfig       = errors.New("daemon settings")
	ErrVoterStopped = errors.New("voter has stopped")
)

// listenError turns the failure to listen on an address.
func listenError(what, addr string, err error) error {
	return oops.In("daemon").Code("listen").With("address", addr).
		Hint("another process may listen there, or the address is not one of this instance; see addresses in the settings").
		Wrapf(err, "%s address %s", what, addr)
}

// voterError turns an error of the data folder.
func voterError(folder string, err error) error {
	b := oops.In("daemon").Code("voter").With("folder", folder)
	switch {
	case errors.Is(err, store.ErrNoIdentity):
		b = b.Hint("run pollenlatch init once; if this voter's disk was lost, replace the voter by a ticket as well")
	case errors.Is(err, store.ErrCorrupt):
		b = b.Hint("the disk lost or changed what was synced: give the voter an empty folder, run pollenlatch init, and replace it by a ticket")
	default:
		b = b.Hint("the folder must exist on a local disk, belong to this user, and be used by no other process")
	}
	return b.Wrapf(err, "data folder %s", folder)
}

// otherVoter says that a data folder belongs to another voter.
func otherVoter(folder, owner, name string) error {
	return fmt.Errorf("%w: data folder %s belongs to voter %q, not %q", ErrConfig, folder, owner, name)
}
