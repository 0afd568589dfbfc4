// Package ticket reads ticket documents.
package ticket

import (
	"bytes"
	"errors"
	"fmt"
	"math/bits"
	"time"

	"github.com/goccy/go-yaml"

	"pollenlatch"
)

// Defaults of a service.
const (
	DefaultRanges    = 1024
	DefaultMaxRun    = 2 * time.Second
	DefaultQueue     = 100
	DefaultRecordTTL = 10 * time.Minute
)

// ErrRanges says that the number of ranges is not a power of two.
var ErrRanges = errors.New("ranges must be a power of two")

type document struct {
	Number   uint64    `yaml:"number"`
	Services []service `yaml:"services"`
	Remove   []string  `yaml:"remove"`
}

type service struct {
	Name   string        `yaml:"name"`
	Keyed  bool          `yaml:"keyed"`
	Ranges uint          `yaml:"ranges"`
	MaxRun time.Duration `yaml:"maxrun"`
	Queue  uint32        `yaml:"queue"`
}

// Parse reads a ticket document.
func Parse(text string) (number uint64, spec pollenlatch.Spec, err error) {
	var d document
	if err := yaml.NewDecoder(bytes.NewBufferString(text), yaml.Strict()).Decode(&d); err != nil {
		return 0, spec, err
	}
	for i, s := range d.Services {
		out, err := s.spec()
		if err != nil {
			return d.Number, spec, fmt.Errorf("services[%d]: %w", i, err)
		}
		spec.Services = append(spec.Services, out)
	}
	spec.Remove = d.Remove
	return d.Number, spec, nil
}

func (s service) spec() (pollenlatch.Service, error) {
	if s.Ranges == 0 {
		s.Ranges = DefaultRanges
	}
	if bits.OnesCount(s.Ranges) != 1 {
		return pollenlatch.Service{}, fmt.Errorf("%w, not %d", ErrRanges, s.Ranges)
	}
	out := pollenlatch.Service{
		Name: s.Name, Keyed: s.Keyed, Bits: uint32(bits.TrailingZeros(s.Ranges)),
		MaxRun: s.MaxRun, Queue: s.Queue, RecordTTL: DefaultRecordTTL,
		Weights: pollenlatch.Weights{Imbalance: 1, Churn: 1, Unavailable: 1},
	}
	if out.MaxRun == 0 {
		out.MaxRun = DefaultMaxRun
	}
	if out.Queue == 0 {
		out.Queue = DefaultQueue
	}
	return out, nil
}

// Faults returns the faults of a document, one for each error.
func Faults(err error) []string { return []string{err.Error()} }
