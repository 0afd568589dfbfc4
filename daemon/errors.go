package daemon

import (
	"errors"
	"fmt"

	"github.com/samber/oops"

	"pollenlatch/store"
)

// Errors of a daemon. Errors at the start carry a hint for the operator; see
// oops.AsOops.
var (
	ErrConfig       = errors.New("invalid daemon configuration")
	ErrVoterStopped = errors.New("voter has stopped")
)

// listenError wraps an error of listening on an address.
func listenError(listener, addr string, err error) error {
	return oops.In("daemon").Code("listen").With("address", addr).
		Hint("another process may be listening there, or the address does not belong to this instance; see addresses in the settings").
		Wrapf(err, "%s address %s", listener, addr)
}

// voterError wraps an error of opening the data folder.
func voterError(folder string, err error) error {
	b := oops.In("daemon").Code("voter").With("folder", folder)
	switch {
	case errors.Is(err, store.ErrNoIdentity):
		b = b.Hint("run pollenlatch init once; if the disk of this voter was lost, also replace the voter by a ticket")
	case errors.Is(err, store.ErrCorrupt):
		b = b.Hint("the disk lost or changed synced data: give the voter an empty folder, run pollenlatch init, and replace the voter by a ticket")
	default:
		b = b.Hint("the folder must exist on a local disk, belong to this user, and not be in use by another process")
	}
	return b.Wrapf(err, "data folder %s", folder)
}

// wrongVoterError returns the error for a data folder that belongs to another
// voter.
func wrongVoterError(folder, owner, name string) error {
	return fmt.Errorf("%w: data folder %s belongs to voter %q, not %q", ErrConfig, folder, owner, name)
}
