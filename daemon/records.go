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

// recordsResendInterval is the interval at which records are sent again until they
// are acknowledged. Importing the same records twice changes nothing.
const recordsResendInterval = 200 * time.Millisecond

// pendingCalls matches replies of other daemons to the requests that this daemon
// sent. The zero value is empty.
type pendingCalls[T any] struct {
	mu      sync.Mutex
	seq     uint64
	replies map[uint64]chan T
}

// add returns the number of a new request and the channel for its reply.
func (c *pendingCalls[T]) add() (seq uint64, reply chan T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replies == nil {
		c.replies = make(map[uint64]chan T)
	}
	c.seq++
	reply = make(chan T, 1)
	c.replies[c.seq] = reply
	return c.seq, reply
}

// remove removes a request, whether it has a reply or not.
func (c *pendingCalls[T]) remove(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.replies, seq)
}

// resolve delivers a reply to its request. Late and duplicate replies are dropped.
func (c *pendingCalls[T]) resolve(seq uint64, v T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply, ok := c.replies[seq]; ok {
		reply <- v
		delete(c.replies, seq)
	}
}

// sendRecords sends the idempotency records of a shard to its next owner and
// reports whether that daemon has imported them.
func (d *Daemon) sendRecords(ctx context.Context, k lease.Key, to pollenlatch.Instance) bool {
	if to.Name == d.cfg.Name {
		return true
	}
	data, err := d.recordStore.Export(k.Shard)
	if err != nil {
		klog.ErrorS(err, "idempotency records could not be exported", "shard", k.Shard, "to", to.Name)
		return false
	}
	seq, acks := d.recordTransfers.add()
	defer d.recordTransfers.remove(seq)
	m := &pollenlatch.Message{Records: &pollenlatch.Records{Seq: seq, Shard: k.Shard, Fence: k.Fence, Data: data}}
	resend := time.NewTicker(recordsResendInterval)
	defer resend.Stop()
	for {
		d.node.Send(to.Addr, m)
		select {
		case ok := <-acks:
			return ok
		case <-resend.C:
		case <-ctx.Done():
			return false
		}
	}
}

func (d *Daemon) importRecords(from string, r *pollenlatch.Records) *pollenlatch.RecordsAck {
	d.imported.mu.Lock()
	defer d.imported.mu.Unlock()
	err := d.recordStore.Import(r.Shard, r.Data)
	if err == nil {
		d.imported.add(r.Shard, r.Fence)
	}
	if err != nil {
		klog.ErrorS(err, "idempotency records could not be imported", "shard", r.Shard, "from", from)
	}
	return &pollenlatch.RecordsAck{Seq: r.Seq, OK: err == nil}
}

// importedRecords tracks the shards whose records were imported for a hand-over.
// The records arrive on another session than the log, so they may arrive before
// the entries that start the hand-over are applied here. Applying those entries
// must not drop the records. The zero value is empty.
type importedRecords struct {
	mu     sync.Mutex
	fences map[pollenlatch.Shard]pollenlatch.Fence // of the owner that sent the records
}

func (m *importedRecords) add(s pollenlatch.Shard, f pollenlatch.Fence) {
	if m.fences == nil {
		m.fences = make(map[pollenlatch.Shard]pollenlatch.Fence)
	}
	m.fences[s] = max(f, m.fences[s])
}

// awaitsHandOver reports whether imported records of the shard, or of a hot key in
// its range, are still waiting for the end of their hand-over. current is the
// shard's fence in the state; when it is later than that of the import, the
// hand-over has ended and the import is removed.
func (m *importedRecords) awaitsHandOver(s pollenlatch.Shard, current pollenlatch.Fence) (pending bool) {
	if f, ok := m.fences[s]; ok && current > f {
		delete(m.fences, s)
	}
	for k := range m.fences {
		if k == s || (s.Key == "" && k.Service == s.Service && k.Range == s.Range) {
			return true
		}
	}
	return false
}

// dropMovedRecords drops the records of shards that another instance owns now, so
// that they do not use up the limit on stored records. It keeps those of a range
// with a hot key that stays here, and those that were imported with the shard's
// present fence or a later one.
func (d *Daemon) dropMovedRecords(keys []lease.Key) {
	a := d.control.Access()
	if a.Self == 0 {
		return
	}
	d.imported.mu.Lock()
	defer d.imported.mu.Unlock()
	for _, k := range keys {
		o, ok := a.View.ShardOwner(k.Shard)
		if !ok {
			delete(d.imported.fences, k.Shard) // a hot key that no longer has an owner of its own
			continue
		}
		if d.imported.awaitsHandOver(k.Shard, o.Fence) || o.Instance == 0 || o.Instance == a.Self || (k.Key == "" && d.ownsHotKey(a, k.Shard)) {
			continue
		}
		d.recordStore.Drop(k.Shard)
	}
}

// ownsHotKey reports whether this instance owns a hot key in the range of s.
func (d *Daemon) ownsHotKey(a *ctrl.Access, s pollenlatch.Shard) bool {
	for _, o := range a.State().HotKeys(s.Service) {
		if o.Range == s.Range && o.Instance == a.Self {
			return true
		}
	}
	return false
}
