package script

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"pollenlatch/daemon"
	"pollenlatch/quorum"
)

// DiskFault is a fault of a voter's disk.
type DiskFault string

// Faults of a voter's disk.
const (
	DiskStalled DiskFault = "stalled" // writes block until the fault ends
	DiskFull    DiskFault = "full"    // writes fail
)

var errDiskFull = errors.New("no space left on device (injected fault)")

// SetDiskFault starts or ends a fault of a voter's disk. A file in the folder of the
// deployment tells the daemon's process about it.
func (d *Deployment) SetDiskFault(i *Instance, f DiskFault, on bool) error {
	name := filepath.Join(d.Dir, faultFile(i.Name, f))
	if !on {
		return os.Remove(name)
	}
	return os.WriteFile(name, nil, 0o600)
}

// faultFile returns the name of the file whose existence turns on a fault.
func faultFile(name string, f DiskFault) string { return name + "." + string(f) }

// faultyDisk is a voter's disk with the faults that SetDiskFault has started. The
// process runs in the folder of the deployment, which holds the files of the faults.
type faultyDisk struct {
	daemon.Disk
	name string
}

// stallPollInterval is the interval at which a blocked write checks for the end of
// the fault.
const stallPollInterval = 10 * time.Millisecond

// active reports whether a fault is turned on.
func (d *faultyDisk) active(fault DiskFault) bool {
	_, err := os.Stat(faultFile(d.name, fault))
	return err == nil
}

// Save implements daemon.Disk.
func (d *faultyDisk) Save(p quorum.Persist) error {
	for d.active(DiskStalled) {
		time.Sleep(stallPollInterval)
	}
	if d.active(DiskFull) {
		return errDiskFull
	}
	return d.Disk.Save(p)
}
