package ticket

import (
	"math"
	"time"

	"pollenlatch"
	"pollenlatch/yamlx"
)

// Default values of a service's fields.
const (
	// DefaultRanges gives each of ten owners about 100 ranges, which can be moved one
	// by one.
	DefaultRanges = 1024
	// DefaultMaxRun is the maximum run time that section 3 of the design page names.
	DefaultMaxRun = 2 * time.Second
	// DefaultQueueLimit is ten times the number of slots of a typical server.
	DefaultQueueLimit = 100
	// DefaultRecordTTL is longer than callers keep retrying a request.
	DefaultRecordTTL = 10 * time.Minute
)

// DefaultWeights weigh the three costs equally.
var DefaultWeights = pollenlatch.Weights{Imbalance: 1, Churn: 1, Unavailable: 1}

// applyDefaults sets the fields that the document leaves out.
func applyDefaults(d *yamlx.Doc, t *document) {
	for i := range t.Services {
		s := &t.Services[i]
		path := index("services", i)
		setDefault(d, path+".ranges", &s.Ranges, DefaultRanges)
		setDefault(d, path+".maxrun", &s.MaxRun, DefaultMaxRun)
		setDefault(d, path+".queue", &s.Queue, DefaultQueueLimit)
		setDefault(d, path+".recordttl", &s.RecordTTL, DefaultRecordTTL)
		setDefault(d, path+".weights", &s.Weights, DefaultWeights)
	}
	for i := range t.Callers {
		c := &t.Callers[i]
		if c.Rate > 0 && c.Rate < math.MaxUint32 {
			setDefault(d, index("callers", i)+".burst", &c.Burst, uint32(math.Ceil(c.Rate)))
		}
	}
}

func setDefault[T any](d *yamlx.Doc, path string, v *T, defaultValue T) {
	if !d.Has(path) {
		*v = defaultValue
	}
}
