package ticket

import (
	"errors"
	"fmt"
	"math/bits"
	"time"

	"pollenlatch"
	"pollenlatch/yamlx"
)

// document is the YAML document of a ticket.
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
	Class        yamlClass     `yaml:"class"`
	Availability float64       `yaml:"availability"`
	Latency      time.Duration `yaml:"latency"`
	Fast         float64       `yaml:"fast"`
}

type rule struct {
	Caller string    `yaml:"caller"`
	Kind   string    `yaml:"kind"`
	Class  yamlClass `yaml:"class"`
}

// yamlClass is a class that is written as its name in YAML.
type yamlClass pollenlatch.Class

// UnmarshalText parses the name of a class.
func (c *yamlClass) UnmarshalText(b []byte) error {
	for _, known := range []pollenlatch.Class{pollenlatch.ClassUrgent, pollenlatch.ClassNormal, pollenlatch.ClassRoutine} {
		if known.String() == string(b) {
			*c = yamlClass(known)
			return nil
		}
	}
	return fmt.Errorf("%q is not a class; the classes are urgent, normal and routine", b)
}

// Parse parses and checks a ticket document. The error is a *yamlx.Error with every
// fault. The number is returned even with an error, if it could be read.
func Parse(text string) (number uint64, spec pollenlatch.Spec, err error) {
	var doc document
	d := yamlx.Decode("", []byte(text), &doc)
	if d.Err() == nil {
		applyDefaults(d, &doc)
		check(d, &doc)
	}
	if err := d.Err(); err != nil {
		return doc.Number, pollenlatch.Spec{}, err
	}
	return doc.Number, doc.toSpec(), nil
}

// Faults returns the faults in an error of Parse, one string each.
func Faults(err error) []string {
	var e *yamlx.Error
	if errors.As(err, &e) {
		return e.Strings()
	}
	return []string{err.Error()}
}

func (t *document) toSpec() pollenlatch.Spec {
	spec := pollenlatch.Spec{Callers: t.Callers, Voters: t.Voters, Remove: t.Remove}
	for _, s := range t.Services {
		spec.Services = append(spec.Services, s.toService())
	}
	return spec
}

func (s *service) toService() pollenlatch.Service {
	out := pollenlatch.Service{
		Name:       s.Name,
		Keyed:      s.Keyed,
		RangeBits:  uint32(bits.TrailingZeros32(s.Ranges)),
		MaxRun:     s.MaxRun,
		QueueLimit: s.Queue,
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
			FastShare:    o.Fast,
		})
	}
	for _, r := range s.Rules {
		out.Rules = append(out.Rules, pollenlatch.ClassRule{Caller: r.Caller, Kind: r.Kind, Class: pollenlatch.Class(r.Class)})
	}
	return out
}

func index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
