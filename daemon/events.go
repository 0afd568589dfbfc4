package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/burn"
	"pollenlatch/link"
)

const (
	// saveInterval is the interval at which the events are saved. A crash loses the
	// events since the last save.
	saveInterval = 10 * time.Second
	// maxEventFetches limits the daemons that are asked concurrently.
	maxEventFetches = 64
	// eventFetchTimeout limits the wait for one daemon. The summary lists a daemon
	// that takes longer as missing.
	eventFetchTimeout = 2 * time.Second
)

// initEvents prepares the counting of events and loads the saved ones. It must be
// called before the listeners are opened, since the first request is counted
// already.
func (d *Daemon) initEvents() {
	d.events.Daemon = d.cfg.Name
	d.events.DC = func(endpoint string) string {
		i, _ := d.control.View().InstanceByName(endpoint)
		return i.DC
	}
	if d.cfg.Data == "" {
		return
	}
	if err := d.events.Load(d.cfg.Data); err != nil {
		klog.ErrorS(err, "events of the service-level report could not be loaded", "folder", d.cfg.Data)
	}
}

// updateEvents saves the events at an interval until ctx ends, and once more
// then. It also records the minutes without events, and passes new objectives
// from tickets to the counter.
func (d *Daemon) updateEvents(ctx context.Context) {
	t := time.NewTicker(saveInterval)
	defer t.Stop()
	var version pollenlatch.Version
	for {
		if v := d.control.View(); v.Version() != version {
			version = v.Version()
			d.events.SetObjectives(v.Services())
		}
		d.events.Tick()
		select {
		case <-t.C:
			d.saveEvents()
		case <-ctx.Done():
			d.saveEvents()
			return
		}
	}
}

func (d *Daemon) saveEvents() {
	if d.cfg.Data == "" {
		return
	}
	if err := d.events.Save(d.cfg.Data); err != nil {
		klog.ErrorS(err, "events of the service-level report could not be saved", "folder", d.cfg.Data)
	}
}

// maxReportBytes limits the size of one EventsReply. Larger reports are split into
// several.
const maxReportBytes = 128 << 10

// sendEvents replies to another daemon's request for events.
func (d *Daemon) sendEvents(from link.Peer, req *pollenlatch.EventsRequest) {
	reply := &pollenlatch.EventsReply{Seq: req.Seq}
	if c := d.eventsOf(req.Instance); c != nil {
		reply.Data, reply.More = encodeFirstMinutes(c.Report(req.After))
	}
	from.Send(&pollenlatch.Message{EventsReply: reply})
}

// eventsOf returns the events of this daemon, the copy of another daemon's
// events, or nil when there is none. An empty name stands for this daemon.
func (d *Daemon) eventsOf(name string) *burn.Counter {
	if name == "" || name == d.cfg.Name {
		return &d.events
	}
	return d.eventCopies.get(name)
}

// encodeFirstMinutes encodes the first minutes of a report, but at least one,
// within maxReportBytes. more reports whether minutes were left out.
func encodeFirstMinutes(r *burn.Report) (b []byte, more bool) {
	for {
		b, err := r.Encode()
		if err != nil {
			klog.ErrorS(err, "events could not be encoded")
			return nil, false
		}
		if len(b) <= maxReportBytes || len(r.Minutes) <= 1 {
			return b, more
		}
		r.Minutes, more = r.Minutes[:len(r.Minutes)/2], true
	}
}

// eventSummary requests the events of every daemon and adds them up. A daemon
// that does not reply is missing from the summary.
func (d *Daemon) eventSummary(ctx context.Context) (*burn.Summary, error) {
	now := time.Now()
	instances := d.control.Access().State().Instances()
	names := make([]string, 0, len(instances))
	for _, i := range instances {
		names = append(names, i.Name)
	}
	s := burn.NewSummary(now, names)
	after := now.Unix()/60 - burn.RetentionMinutes
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxEventFetches)
	for _, i := range instances {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			counter := &burn.Counter{Daemon: i.Name}
			if err := d.fetchEvents(ctx, i, "", after, counter.Update); err != nil {
				klog.V(1).InfoS("daemon did not report its events", "instance", i.Name, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if err := s.Add(counter.Report(0)); err != nil {
				klog.ErrorS(err, "events of a daemon could not be added to the summary", "instance", i.Name)
			}
		})
	}
	wg.Wait()
	return s, nil
}

// fetchEvents requests events after a Unix minute from instance i and passes each
// report to handle. The events are those of the named daemon, of which i may have
// a copy; an empty name stands for i itself.
func (d *Daemon) fetchEvents(ctx context.Context, i pollenlatch.Instance, name string, after int64, handle func(*burn.Report) error) error {
	if i.Name == d.cfg.Name {
		return handle(d.events.Report(after))
	}
	ctx, cancel := context.WithTimeout(ctx, eventFetchTimeout)
	defer cancel()
	for {
		reply, err := d.requestEvents(ctx, i, &pollenlatch.EventsRequest{Instance: name, After: after})
		if err != nil {
			return err
		}
		if len(reply.Data) == 0 {
			return fmt.Errorf("%w: of %s", errNoEvents, name)
		}
		r, err := burn.Decode(reply.Data)
		if err != nil {
			return err
		}
		if err := handle(r); err != nil {
			return err
		}
		if !reply.More || len(r.Minutes) == 0 {
			return nil
		}
		after = r.Minutes[len(r.Minutes)-1].Minute
	}
}

var errNoEvents = errors.New("daemon has no events")

func (d *Daemon) requestEvents(ctx context.Context, i pollenlatch.Instance, req *pollenlatch.EventsRequest) (*pollenlatch.EventsReply, error) {
	seq, replies := d.eventRequests.add()
	defer d.eventRequests.remove(seq)
	req.Seq = seq
	d.node.Send(i.Addr, &pollenlatch.Message{EventsRequest: req})
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
