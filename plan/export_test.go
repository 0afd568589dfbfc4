package plan

// NumTrackers returns the number of instances that the planner has trackers for.
func (p *Planner) NumTrackers() int { return len(p.trackers) }
