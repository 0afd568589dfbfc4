package daemon

import (
	"context"
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

// watch prepares the counting of events.
func (d *Daemon) watch() {
	d.burn.Daemon = d.cfg.Name
	d.burn.DC = func(endpoint string) string {
		i, _ := d.desk.View().Lookup(endpoint)
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
			d.burn.Objectives(v.Services())
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

// report answers another daemon's question for this daemon's events.
func (d *Daemon) report(from link.Peer, f *pollenlatch.Fetch) {
	b, err := d.burn.Report(f.After).Encode()
	if err != nil {
		klog.ErrorS(err, "events not encoded", "for", from.Name)
		return
	}
	from.Send(&pollenlatch.Message{Fetched: &pollenlatch.Fetched{Seq: f.Seq, Data: b}})
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
	after := now.Unix()/60 - burn.Kept
	var mu sync.Mutex
	var wg sync.WaitGroup
	free := make(chan struct{}, fetchers)
	for _, i := range instances {
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			r, err := d.fetch(ctx, i, after)
			if err != nil {
				klog.V(1).InfoS("daemon does not report its events", "instance", i.Name, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if err := s.Add(r); err != nil {
				klog.ErrorS(err, "events refused", "instance", i.Name)
			}
		})
	}
	wg.Wait()
	return s, nil
}

func (d *Daemon) fetch(ctx context.Context, i pollenlatch.Instance, after int64) (*burn.Report, error) {
	if i.Name == d.cfg.Name {
		return d.burn.Report(after), nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	seq, answer := d.fetches.begin()
	defer d.fetches.end(seq)
	d.node.Send(i.Addr, &pollenlatch.Message{Fetch: &pollenlatch.Fetch{Seq: seq, After: after}})
	select {
	case b := <-answer:
		return burn.Decode(b)
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
