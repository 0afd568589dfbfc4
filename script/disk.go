package script

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"pollenlatch/daemon"
	"pollenlatch/quorum"
)

// DiskFault is what a voter's disk does wrong.
type DiskFault string

// Faults of a disk.
const (
	DiskStalled DiskFault = "stalled" // writes wait until the fault ends
	DiskFull    DiskFault = "full"    // writes fail
)

var errDiskFull = errors.New("no space is left on the device")

// SetDiskFault begins or ends a fault of a voter's disk. The processes of a
// deployment read it from a file, so that it is made from outside of them.
func (d *Deployment) SetDiskFault(i *Instance, f DiskFault, on bool) error {
	name := filepath.Join(d.Dir, faultFile(i.Name, f))
	if !on {
		return os.Remove(name)
	}
	return os.WriteFile(name, nil, 0o600)
}

func faultFile(name string, f DiskFault) string { return name + "." + string(f) }

// faultyDisk is a voter's disk with the faults that SetDiskFault made. Processes run
// in the folder of the deployment.
type faultyDisk struct {
	daemon.Disk
	name string
}

// stallPoll is how often a write that waits looks for the end of the fault.
const stallPoll = 10 * time.Millisecond

func (f *faultyDisk) has(what DiskFault) bool {
	_, err := os.Stat(faultFile(f.name, what))
	return err == nil
}

// Save implements daemon.Disk.
func (f *faultyDisk) Save(p quorum.Persist) error {
	for f.has(DiskStalled) {
		time.Sleep(stallPoll)
	}
	if f.has(DiskFull) {
		return errDiskFull
	}
	return f.Disk.Save(p)
}
