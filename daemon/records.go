package daemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/ctrl"
	"pollenlatch/lease"
)

// transferRetry is the interval at which records are sent again. Importing the
// same records twice changes nothing.
const transferRetry = 200 * time.Millisecond

// calls matches answers of other daemons to requests. The zero value has none.
type calls[T any] struct {
	mu      sync.Mutex
	seq     uint64
	waiting map[uint64]chan T
}

// begin returns the number of a new request and where its answer arrives.
func (c *calls[T]) begin() (seq uint64, answer chan T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting = make(map[uint64]chan T)
	}
	c.seq++
	answer = make(chan T, 1)
	c.waiting[c.seq] = answer
	return c.seq, answer
}

// end forgets a request, answered or not.
func (c *calls[T]) end(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, seq)
}

// answer passes an answer on. Late and repeated ones are dropped.
func (c *calls[T]) answer(seq uint64, v T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.waiting[seq]; ok {
		w <- v
		delete(c.waiting, seq)
	}
}

// transfer sends the idempotency records of a shard to its next owner and
// reports whether it has them.
func (d *Daemon) transfer(ctx context.Context, k lease.Key, to pollenlatch.Instance) bool {
	if to.Name == d.cfg.Name {
		return true
	}
	data, err := d.once.Export(k.Shard)
	if err != nil {
		klog.ErrorS(err, "idempotency records not handed over", "shard", k.Shard, "to", to.Name)
		return false
	}
	seq, answer := d.transfers.begin()
	defer d.transfers.end(seq)
	m := &pollenlatch.Message{Records: &pollenlatch.Records{Seq: seq, Shard: k.Shard, Fence: k.Fence, Data: data}}
	retry := time.NewTicker(transferRetry)
	defer retry.Stop()
	for {
		d.node.Send(to.Addr, m)
		select {
		case ok := <-answer:
			return ok
		case <-retry.C:
		case <-ctx.Done():
			return false
		}
	}
}

func (d *Daemon) importRecords(from string, r *pollenlatch.Records) *pollenlatch.RecordsAck {
	d.records.mu.Lock()
	defer d.records.mu.Unlock()
	err := d.once.Import(r.Shard, r.Data)
	if err == nil {
		d.records.note(r.Shard, r.Fence)
	}
	if err != nil {
		klog.ErrorS(err, "idempotency records refused", "shard", r.Shard, "from", from)
	}
	return &pollenlatch.RecordsAck{Seq: r.Seq, OK: err == nil}
}

// imports are the shards whose records were taken over, by the fence of the
// owner that sent them. The records come over another session than the log, so
// they may be here before the entries that start the hand-over: those must not
// drop them. The zero value has none.
type imports struct {
	mu     sync.Mutex
	fences map[pollenlatch.Shard]pollenlatch.Fence
}

func (m *imports) note(s pollenlatch.Shard, f pollenlatch.Fence) {
	if m.fences == nil {
		m.fences = make(map[pollenlatch.Shard]pollenlatch.Fence)
	}
	m.fences[s] = max(f, m.fences[s])
}

// settle forgets the import of a shard when the state has a later fence. It
// reports whether records of the shard, or of a key of the range, are still
// waiting for their hand-over to end.
func (m *imports) settle(s pollenlatch.Shard, now pollenlatch.Fence) (waiting bool) {
	if f, ok := m.fences[s]; ok && now > f {
		delete(m.fences, s)
	}
	for k := range m.fences {
		if k == s || (s.Key == "" && k.Service == s.Service && k.Range == s.Range) {
			return true
		}
	}
	return false
}

// moved forgets the records of shards that another instance owns now, so that
// they do not take the room of others. A range with a hot key that stays here
// is left alone, and so are records that were sent here under the present
// fence or a later one.
func (d *Daemon) moved(keys []lease.Key) {
	a := d.desk.Access()
	if a.Self == 0 {
		return
	}
	d.records.mu.Lock()
	defer d.records.mu.Unlock()
	for _, k := range keys {
		o, ok := a.View.ShardOwner(k.Shard)
		if !ok {
			delete(d.records.fences, k.Shard) // a hot key whose own record is gone
			continue
		}
		if d.records.settle(k.Shard, o.Fence) || o.Instance == 0 || o.Instance == a.Self || (k.Key == "" && d.ownsKey(a, k.Shard)) {
			continue
		}
		d.once.Drop(k.Shard)
	}
}

// ownsKey reports whether this instance owns a hot key of a range.
func (d *Daemon) ownsKey(a *ctrl.Access, s pollenlatch.Shard) bool {
	for _, o := range a.State().HotKeys(s.Service) {
		if o.Range == s.Range && o.Instance == a.Self {
			return true
		}
	}
	return false
}
