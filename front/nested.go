package front

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pollenlatch"
)

// nestedMetrics measure where nested requests spend their time.
type nestedMetrics struct {
	entry, link, queue, server *metrics.Histogram
}

func newNestedMetrics(set *metrics.Set) nestedMetrics {
	histogram := func(part string) *metrics.Histogram {
		return set.GetOrCreateHistogram(`pollenlatch_front_nested_seconds{part="` + part + `"}`)
	}
	return nestedMetrics{histogram("entry"), histogram("link"), histogram("queue"), histogram("server")}
}

// recordNestedTimes records where a nested request spent its time. Its last attempt was
// sent at sentAt, and had the head of the response at now. A response of a daemon that
// states no times is not counted.
func (p *pendingRequest) recordNestedTimes(resp *pollenlatch.ResponseHead, sentAt, now time.Time) {
	if !p.request.Nested || resp.TotalTime <= 0 {
		return
	}
	t := &pollenlatch.NestedTimes{
		Entry:  sentAt.Sub(p.arrival),
		Link:   max(0, now.Sub(sentAt)-resp.TotalTime),
		Queue:  resp.QueueTime,
		Server: max(0, resp.TotalTime-resp.QueueTime),
	}
	m := &p.nestedTimes
	m.entry.Update(t.Entry.Seconds())
	m.link.Update(t.Link.Seconds())
	m.queue.Update(t.Queue.Seconds())
	m.server.Update(t.Server.Seconds())
	if p.request.Trace != nil {
		p.request.Trace.Nested = t
	}
}
