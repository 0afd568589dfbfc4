package ticket

import (
	"math"
	"time"

	"pollenlatch"
	"pollenlatch/field"
)

// Defaults of a service's fields.
const (
	// DefaultRanges gives each of ten owners about 100 ranges to move singly.
	DefaultRanges = 1024
	// DefaultMaxRun is the time of section 3 of the design page.
	DefaultMaxRun = 2 * time.Second
	// DefaultQueueLimit is ten times the slots of a typical server.
	DefaultQueueLimit = 100
	// DefaultRecordTTL is longer than callers go on repeating a request.
	DefaultRecordTTL = 10 * time.Minute
)

// DefaultWeights weigh the three costs equally.
var DefaultWeights = pollenlatch.Weights{Imbalance: 1, Churn: 1, Unavailable: 1}

// complete fills the fields that the document leaves out.
func complete(d *field.Doc, t *document) {
	for i := range t.Services {
		s := &t.Services[i]
		at := index("services", i)
		setDefault(d, at+".ranges", &s.Ranges, DefaultRanges)
		setDefault(d, at+".maxrun", &s.MaxRun, DefaultMaxRun)
		setDefault(d, at+".queue", &s.Queue, DefaultQueueLimit)
		setDefault(d, at+".recordttl", &s.RecordTTL, DefaultRecordTTL)
		setDefault(d, at+".weights", &s.Weights, DefaultWeights)
	}
	for i := range t.Callers {
		c := &t.Callers[i]
		if c.Rate > 0 && c.Rate < math.MaxUint32 {
			setDefault(d, index("callers", i)+".burst", &c.Burst, uint32(math.Ceil(c.Rate)))
		}
	}
}

func setDefault[T any](d *field.Doc, path string, v *T, value T) {
	if !d.Has(path) {
		*v = value
	}
}
