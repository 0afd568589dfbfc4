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

// adminControl implements admin.Control.
type adminControl struct{ *Daemon }

var errDraining = errors.New("instance is already draining")

// View returns the newest state that this process has.
func (c adminControl) View() admin.View { return c.control.Access().State() }

// Propose submits a ticket to the group and waits for its verdict.
func (c adminControl) Propose(ctx context.Context, text, sender string) (pollenlatch.Verdict, error) {
	number, _, err := ticket.Parse(text)
	if err != nil {
		return pollenlatch.Verdict{}, err
	}
	return c.Submit(ctx, pollenlatch.Ticket{Number: number, Text: text, Sender: sender, ReceivedAt: time.Now().UnixMilli()})
}

// Evacuate submits an order to evacuate a data centre, or to end that, and waits for its
// verdict.
func (c adminControl) Evacuate(ctx context.Context, e pollenlatch.Evacuate) (pollenlatch.Verdict, error) {
	return c.loop.SubmitEvacuation(ctx, &e)
}

// InForce reports whether every instance that may serve has the version.
func (c adminControl) InForce(v pollenlatch.Version) bool { return c.control.Access().InForce >= v }

// Status returns the status of this process.
func (c adminControl) Status() admin.ProcessStatus {
	a := c.control.Access()
	running, waiting := c.admitter.Load()
	return admin.ProcessStatus{
		Name: c.cfg.Name, DC: c.cfg.DC, Region: c.cfg.Region, Group: c.cfg.Group,
		ProgramVersion: programVersion(), StartedAt: c.startedAt, Version: a.View.Version(),
		Serving: c.control.Serving() == nil, Draining: a.Closed || c.isDrainRequested(),
		Voter: a.IsVoter, IsLeader: a.IsLeader, Leader: a.Leader, Term: a.Term,
		InFlight: running, Queued: waiting,
	}
}

// programVersion returns the version in the program's build information.
func programVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(devel)"
}

// Assignment returns when and why the shard got its present fence, or false when that
// is not among the newest changes that this process applied.
func (c adminControl) Assignment(o pollenlatch.Owner) (admin.Assignment, bool) {
	g, ok := c.loop.OwnerChange(ctrl.KeyOf(o))
	return admin.Assignment{AppliedAt: g.AppliedAt, Reason: g.Reason}, ok
}

// Drain starts a graceful shutdown.
func (c adminControl) Drain() error {
	requested := false
	c.drainOnce.Do(func() {
		requested = true
		close(c.drainRequested)
	})
	if !requested {
		return fmt.Errorf("instance %s: %w", c.cfg.Name, errDraining)
	}
	return nil
}

func (d *Daemon) isDrainRequested() bool {
	select {
	case <-d.drainRequested:
		return true
	default:
		return false
	}
}
