package daemon

import (
	"pollenlatch"
	"pollenlatch/link"
)

// Send implements ctrl.Sender.
func (d *Daemon) Send(addr string, m *pollenlatch.Message) { d.node.Send(addr, m) }

// Reply implements ctrl.Sender.
func (d *Daemon) Reply(to string, m *pollenlatch.Message) {
	d.mu.Lock()
	p, ok := d.peers[to]
	d.mu.Unlock()
	if ok {
		p.Send(m)
	}
}

func (d *Daemon) receive(from link.Peer, m *pollenlatch.Message) {
	switch {
	case m.Records != nil:
		from.Send(&pollenlatch.Message{Received: d.importRecords(from.Name, m.Records)})
		return
	case m.Received != nil:
		d.transfers.answer(m.Received.Seq, m.Received.OK)
		return
	case m.Fetch != nil:
		d.report(from, m.Fetch)
		return
	case m.Fetched != nil:
		d.fetches.answer(m.Fetched.Seq, m.Fetched)
		return
	}
	d.mu.Lock()
	d.peers[from.Name] = from
	d.mu.Unlock()
	d.loop.Receive(from.Name, m)
}
