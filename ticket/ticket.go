package ticket

import (
	"fmt"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
	"pollenlatch/field"
)

// document is a ticket as it is written.
type document struct {
	Number   uint64               `yaml:"number"`
	Services []service            `yaml:"services"`
	Callers  []pollenlatch.Caller `yaml:"callers"`
	Voters   []pollenlatch.Member `yaml:"voters"`
	Remove   []string             `yaml:"remove"`
}

type service struct {
	Name       string              `yaml:"name"`
	Keyed      bool                `yaml:"keyed"`
	Ranges     uint32              `yaml:"ranges"`
	MaxRun     time.Duration       `yaml:"maxrun"`
	Queue      uint32              `yaml:"queue"`
	Weights    pollenlatch.Weights `yaml:"weights"`
	Objectives []objective         `yaml:"objectives"`
	Rules      []rule              `yaml:"rules"`
	DCs        []string            `yaml:"dcs"`
	Idempotent []string            `yaml:"idempotent"`
	RecordTTL  time.Duration       `yaml:"recordttl"`
}

type objective struct {
	Class        class         `yaml:"class"`
	Availability float64       `yaml:"availability"`
	Latency      time.Duration `yaml:"latency"`
	Fast         float64       `yaml:"fast"`
}

type rule struct {
	Caller string `yaml:"caller"`
	Kind   string `yaml:"kind"`
	Class  class  `yaml:"class"`
}

// class reads the name of a class.
type class pollenlatch.Class

// UnmarshalText reads the name of a class.
func (c *class) UnmarshalText(b []byte) error {
	for _, k := range []pollenlatch.Class{pollenlatch.Urgent, pollenlatch.Normal, pollenlatch.Routine} {
		if k.String() == string(b) {
			*c = class(k)
			return nil
		}
	}
	return fmt.Errorf("%q is not a class; the classes are urgent, normal and routine", b)
}

// Parse reads a ticket document. The result has the number, text, digest and
// spec set. The error is a *field.Error with every fault.
func Parse(text string) (pollenlatch.Ticket, error) {
	var doc document
	d := field.Read("", []byte(text), &doc)
	if d.Err() == nil {
		complete(d, &doc)
		check(d, &doc)
	}
	if err := d.Err(); err != nil {
		return pollenlatch.Ticket{}, err
	}
	return pollenlatch.Ticket{
		Number: doc.Number,
		Text:   text,
		Digest: xxhash.Sum64String(text),
		Spec:   doc.spec(),
	}, nil
}

func (t *document) spec() pollenlatch.Spec {
	spec := pollenlatch.Spec{Callers: t.Callers, Voters: t.Voters, Remove: t.Remove}
	for _, s := range t.Services {
		spec.Services = append(spec.Services, s.service())
	}
	return spec
}

func (s *service) service() pollenlatch.Service {
	out := pollenlatch.Service{
		Name:       s.Name,
		Keyed:      s.Keyed,
		Bits:       uint32(bits.TrailingZeros32(s.Ranges)),
		MaxRun:     s.MaxRun,
		Queue:      s.Queue,
		Weights:    s.Weights,
		DCs:        s.DCs,
		Idempotent: s.Idempotent,
		RecordTTL:  s.RecordTTL,
	}
	for _, o := range s.Objectives {
		out.Objectives = append(out.Objectives, pollenlatch.Objective{
			Class:        pollenlatch.Class(o.Class),
			Availability: o.Availability,
			Latency:      o.Latency,
			Fast:         o.Fast,
		})
	}
	for _, r := range s.Rules {
		out.Rules = append(out.Rules, pollenlatch.Rule{Caller: r.Caller, Kind: r.Kind, Class: pollenlatch.Class(r.Class)})
	}
	return out
}

func index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
