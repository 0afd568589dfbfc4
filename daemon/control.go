package daemon

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"pollenlatch"
	"pollenlatch/admin"
	"pollenlatch/ctrl"
	"pollenlatch/ticket"
)

// control is what the administration API sees of a daemon.
type control struct{ *Daemon }

var errDraining = errors.New("this instance is draining already")

// View returns the newest state that this process holds.
func (c control) View() admin.View { return c.desk.Access().State() }

// Propose has the group decide on a ticket.
func (c control) Propose(ctx context.Context, text, sender string) (pollenlatch.Verdict, error) {
	number, _, err := ticket.Parse(text)
	if err != nil {
		return pollenlatch.Verdict{}, err
	}
	return c.Submit(ctx, pollenlatch.Ticket{Number: number, Text: text, Sender: sender, ReceivedAt: time.Now().UnixMilli()})
}

// InForce reports whether every instance that may serve holds the version.
func (c control) InForce(v pollenlatch.Version) bool { return c.desk.Access().InForce >= v }

// Status returns the condition of this process.
func (c control) Status() admin.ProcessStatus {
	a := c.desk.Access()
	running, waiting := c.gate.Load()
	return admin.ProcessStatus{
		Name: c.cfg.Name, DC: c.cfg.DC, Region: c.cfg.Region, Group: c.cfg.Group,
		ProgramVersion: program(), StartedAt: c.begun, Version: a.View.Version(),
		Serving: c.desk.Serving() == nil, Draining: a.Closed || c.leaving(),
		Voter: a.IsVoter, IsLeader: a.IsLeader, Leader: a.Leader, Term: a.Term,
		InFlight: running, Queued: waiting,
	}
}

// program returns the version of the program as it was built.
func program() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(devel)"
}

// Assignment returns what this process knows of how a shard got its fence.
func (c control) Assignment(o pollenlatch.Owner) (admin.Assignment, bool) {
	g, ok := c.loop.OwnerChange(ctrl.KeyOf(o))
	return admin.Assignment{AppliedAt: g.AppliedAt, Reason: g.Reason}, ok
}

// Drain starts a graceful shutdown.
func (c control) Drain() error {
	first := false
	c.drain.Do(func() {
		first = true
		close(c.stop)
	})
	if !first {
		return fmt.Errorf("instance %s: %w", c.cfg.Name, errDraining)
	}
	return nil
}

func (d *Daemon) leaving() bool {
	select {
	case <-d.stop:
		return true
	default:
		return false
	}
}
