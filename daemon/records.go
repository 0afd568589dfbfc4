package daemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/lease"
)

// transferRetry is the interval at which records are sent again. Importing the
// same records twice changes nothing.
const transferRetry = 200 * time.Millisecond

// transfers waits for the next owners' acknowledgements. The zero value waits
// for none.
type transfers struct {
	mu      sync.Mutex
	seq     uint64
	waiting map[uint64]chan bool
}

func (t *transfers) begin() (seq uint64, answer chan bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting == nil {
		t.waiting = make(map[uint64]chan bool)
	}
	t.seq++
	answer = make(chan bool, 1)
	t.waiting[t.seq] = answer
	return t.seq, answer
}

func (t *transfers) end(seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, seq)
}

func (t *transfers) answer(r *pollenlatch.Received) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.waiting[r.Seq]; ok {
		c <- r.OK
		delete(t.waiting, r.Seq)
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

func (d *Daemon) importRecords(from string, r *pollenlatch.Records) *pollenlatch.Received {
	err := d.once.Import(r.Shard, r.Data)
	if err != nil {
		klog.ErrorS(err, "idempotency records refused", "shard", r.Shard, "from", from)
	}
	return &pollenlatch.Received{Seq: r.Seq, OK: err == nil}
}
