package burn

import (
	"errors"
	"fmt"

	"pollenlatch"
)

// Report is the serialised form of a Counter.
type Report struct {
	Daemon        string         `protobuf:"bytes,1,opt,name=daemon"`
	CreatedMinute int64          `protobuf:"varint,2,opt,name=minute"` // Unix minute in which it was made
	Series        []Series       `protobuf:"bytes,3,rep,name=series"`
	Minutes       []MinuteCounts `protobuf:"bytes,4,rep,name=minutes"` // in which the daemon counted; ascending
}

// MinuteCounts is the events of one minute.
type MinuteCounts struct {
	Minute int64  `protobuf:"varint,1,opt,name=minute"` // Unix minutes
	Cells  []Cell `protobuf:"bytes,2,rep,name=cells"`
}

// Cell is the number of events of one series in one minute.
type Cell struct {
	Series uint32 `protobuf:"varint,1,opt,name=series"` // index in Report.Series
	Events uint64 `protobuf:"varint,2,opt,name=n"`
	Slow   uint32 `protobuf:"varint,3,opt,name=slow"` // of Events, those slower than the latency objective
}

// ErrMalformedReport is returned for a report that is not well formed.
var ErrMalformedReport = errors.New("malformed burn report")

// Check reports whether the report is well formed. Its error wraps
// ErrMalformedReport.
func (r *Report) Check() error {
	if r.Daemon == "" {
		return fmt.Errorf("%w: name of the daemon is empty", ErrMalformedReport)
	}
	if len(r.Minutes) > RetentionMinutes {
		return fmt.Errorf("%w: has %d minutes, maximum %d", ErrMalformedReport, len(r.Minutes), RetentionMinutes)
	}
	last := int64(0)
	for _, m := range r.Minutes {
		if m.Minute <= last || m.Minute > r.CreatedMinute {
			return fmt.Errorf("%w: minute %d follows minute %d in a report of minute %d", ErrMalformedReport, m.Minute, last, r.CreatedMinute)
		}
		last = m.Minute
		for _, c := range m.Cells {
			if int(c.Series) >= len(r.Series) || uint64(c.Slow) > c.Events {
				return fmt.Errorf("%w: minute %d has a cell with series index %d of %d series, and %d of %d events slow",
					ErrMalformedReport, m.Minute, c.Series, len(r.Series), c.Slow, c.Events)
			}
		}
	}
	return nil
}

// Report returns the events that were counted after a Unix minute. With 0 it
// returns those of all 3 days.
func (c *Counter) Report(after int64) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.currentMinute()
	r := &Report{Daemon: c.Daemon, CreatedMinute: now}
	if c.buckets == nil {
		return r
	}
	indexes := make(map[uint32]uint32)
	for m := max(now-RetentionMinutes, after) + 1; m <= now; m++ {
		b := &c.buckets[m%RetentionMinutes]
		if b.minute != m {
			continue
		}
		out := MinuteCounts{Minute: m}
		for _, x := range b.cells {
			i, ok := indexes[x.series]
			if !ok {
				i = uint32(len(r.Series))
				indexes[x.series] = i
				r.Series = append(r.Series, c.series[x.series])
			}
			out.Cells = append(out.Cells, Cell{Series: i, Events: x.events, Slow: x.slow})
		}
		r.Minutes = append(r.Minutes, out)
	}
	return r
}

// Restore adds the events of a report to the counter, such as those of the same
// daemon before a restart. It ignores minutes that are older than 3 days.
func (c *Counter) Restore(r *Report) error { return c.merge(r, false) }

// Update replaces the minutes that a newer report of the same daemon contains. It
// keeps a copy of a peer's counter up to date from overlapping reports.
func (c *Counter) Update(r *Report) error { return c.merge(r, true) }

func (c *Counter) merge(r *Report, replace bool) error {
	if err := r.Check(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.currentMinute()
	for _, m := range r.Minutes {
		if m.Minute <= now-RetentionMinutes || m.Minute > now {
			continue
		}
		b := c.bucket(m.Minute)
		if replace {
			b.cells = nil
		}
		for _, x := range m.Cells {
			b.add(c, r.Series[x.Series], x.Events, x.Slow)
		}
	}
	return nil
}

// Encode returns the encoded report.
func (r *Report) Encode() ([]byte, error) { return pollenlatch.Encode(r) }

// Decode reads an encoded report and checks it.
func Decode(b []byte) (*Report, error) {
	r := &Report{}
	if err := pollenlatch.Decode(b, r); err != nil {
		return nil, err
	}
	return r, nil
}
