package burn

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// fileName is the name of the file of the buckets in the data folder. It contains
// the xxhash64 checksum of the encoded report in little-endian order, then the
// report.
const fileName = "burn"

const checksumBytes = 8

// Save writes all buckets to the folder. They are durable when it returns nil:
// the file is written under a temporary name, synced and renamed, and the
// folder is synced.
func (c *Counter) Save(dir string) (err error) {
	body, err := c.Report(0).Encode()
	if err != nil {
		return err
	}
	b := binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(body))
	b = append(b, body...)
	c.saveMu.Lock()
	defer c.saveMu.Unlock()
	f, err := os.Create(filepath.Join(dir, fileName+".tmp"))
	if err != nil {
		return fmt.Errorf("saving burn buckets: %w", err)
	}
	defer func() {
		if err != nil {
			_ = os.Remove(f.Name())
			err = fmt.Errorf("saving burn buckets: %w", err)
		}
	}()
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err = os.Rename(f.Name(), filepath.Join(dir, fileName)); err != nil {
		return err
	}
	return syncDir(dir)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Load adds the buckets that Save wrote to the folder. Without such a file it does
// nothing. If the file is damaged, it returns an error and adds nothing.
func (c *Counter) Load(dir string) error {
	b, err := os.ReadFile(filepath.Join(dir, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("loading burn buckets: %w", err)
	}
	if len(b) < checksumBytes || binary.LittleEndian.Uint64(b) != xxhash.Sum64(b[checksumBytes:]) {
		return fmt.Errorf("loading burn buckets: checksum mismatch in file %s", fileName)
	}
	r, err := Decode(b[checksumBytes:])
	if err != nil {
		return fmt.Errorf("loading burn buckets: %w", err)
	}
	return c.Restore(r)
}
