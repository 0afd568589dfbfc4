package plan

// NumTrackers returns the number of instances that the planner remembers.
func (p *Planner) NumTrackers() int { return len(p.trackers) }
