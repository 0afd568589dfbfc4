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
	peer, ok := d.peers[to]
	d.mu.Unlock()
	if ok {
		peer.Send(m)
	}
}

func (d *Daemon) receive(from link.Peer, m *pollenlatch.Message) {
	switch {
	case m.Records != nil:
		from.Send(&pollenlatch.Message{RecordsAck: d.importRecords(from.Name, m.Records)})
		return
	case m.RecordsAck != nil:
		d.recordTransfers.resolve(m.RecordsAck.Seq, m.RecordsAck.OK)
		return
	case m.EventsRequest != nil:
		d.sendEvents(from, m.EventsRequest)
		return
	case m.EventsReply != nil:
		d.eventRequests.resolve(m.EventsReply.Seq, m.EventsReply)
		return
	}
	d.mu.Lock()
	d.peers[from.Name] = from
	d.mu.Unlock()
	d.loop.Receive(from.Name, m)
}
