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
	// keepInterval is how often the events are saved. A crash loses those
	// since the last time.
	keepInterval = 10 * time.Second
	// fetchers bounds the daemons that are asked at the same time.
	fetchers = 64
	// fetchTimeout is the longest wait for one daemon, which then is missing.
	fetchTimeout = 2 * time.Second
)

// prepareEvents prepares the counting of events. It comes before the listeners
// are opened, since the first request is counted.
func (d *Daemon) prepareEvents() {
	d.burn.Daemon = d.cfg.Name
	d.burn.DC = func(endpoint string) string {
		i, _ := d.desk.View().InstanceByName(endpoint)
		return i.DC
	}
	if d.cfg.Data == "" {
		return
	}
	if err := d.burn.Load(d.cfg.Data); err != nil {
		klog.ErrorS(err, "events of the service-level report not restored", "folder", d.cfg.Data)
	}
}

// keep counts minutes without events too, follows the objectives of the
// tickets, and saves the events, until ctx ends.
func (d *Daemon) keep(ctx context.Context) {
	t := time.NewTicker(keepInterval)
	defer t.Stop()
	var version pollenlatch.Version
	for {
		if v := d.desk.View(); v.Version() != version {
			version = v.Version()
			d.burn.SetObjectives(v.Services())
		}
		d.burn.Tick()
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
	if err := d.burn.Save(d.cfg.Data); err != nil {
		klog.ErrorS(err, "events of the service-level report not saved", "folder", d.cfg.Data)
	}
}

// reportBytes bounds one answer with events: several follow each other.
const reportBytes = 128 << 10

// report answers another daemon's question for events.
func (d *Daemon) report(from link.Peer, f *pollenlatch.EventsRequest) {
	answer := &pollenlatch.EventsReply{Seq: f.Seq}
	if c := d.counter(f.Instance); c != nil {
		answer.Data, answer.More = bounded(c.Report(f.After))
	}
	from.Send(&pollenlatch.Message{EventsReply: answer})
}

// counter returns the events of this daemon, or the copy of another's.
func (d *Daemon) counter(of string) *burn.Counter {
	if of == "" || of == d.cfg.Name {
		return &d.burn
	}
	return d.copies.get(of)
}

// bounded encodes the first minutes of a report, as many as there is room for.
func bounded(r *burn.Report) (b []byte, more bool) {
	for {
		b, err := r.Encode()
		if err != nil {
			klog.ErrorS(err, "events not encoded")
			return nil, false
		}
		if len(b) <= reportBytes || len(r.Minutes) <= 1 {
			return b, more
		}
		r.Minutes, more = r.Minutes[:len(r.Minutes)/2], true
	}
}

// summary asks every daemon for its events and adds them up. A daemon that
// does not answer is missing in it.
func (d *Daemon) summary(ctx context.Context) (*burn.Summary, error) {
	now := time.Now()
	instances := d.desk.Access().State().Instances()
	names := make([]string, 0, len(instances))
	for _, i := range instances {
		names = append(names, i.Name)
	}
	s := burn.NewSummary(now, names)
	after := now.Unix()/60 - burn.RetentionMinutes
	var mu sync.Mutex
	var wg sync.WaitGroup
	free := make(chan struct{}, fetchers)
	for _, i := range instances {
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			whole := &burn.Counter{Daemon: i.Name}
			if err := d.fetch(ctx, i, "", after, whole.Update); err != nil {
				klog.V(1).InfoS("daemon does not report its events", "instance", i.Name, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if err := s.Add(whole.Report(0)); err != nil {
				klog.ErrorS(err, "events refused", "instance", i.Name)
			}
		})
	}
	wg.Wait()
	return s, nil
}

// fetch asks a daemon for events after a minute, its own or the copy that it
// has of another's, and passes them to take piece by piece.
func (d *Daemon) fetch(ctx context.Context, i pollenlatch.Instance, of string, after int64, take func(*burn.Report) error) error {
	if i.Name == d.cfg.Name {
		return take(d.burn.Report(after))
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for {
		f, err := d.ask(ctx, i, &pollenlatch.EventsRequest{Instance: of, After: after})
		if err != nil {
			return err
		}
		if len(f.Data) == 0 {
			return fmt.Errorf("%w: of %s", errNoEvents, of)
		}
		r, err := burn.Decode(f.Data)
		if err != nil {
			return err
		}
		if err := take(r); err != nil {
			return err
		}
		if !f.More || len(r.Minutes) == 0 {
			return nil
		}
		after = r.Minutes[len(r.Minutes)-1].Minute
	}
}

var errNoEvents = errors.New("the daemon has no events")

func (d *Daemon) ask(ctx context.Context, i pollenlatch.Instance, f *pollenlatch.EventsRequest) (*pollenlatch.EventsReply, error) {
	seq, answer := d.fetches.begin()
	defer d.fetches.end(seq)
	f.Seq = seq
	d.node.Send(i.Addr, &pollenlatch.Message{EventsRequest: f})
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
