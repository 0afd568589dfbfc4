package plan

// Tracks returns the number of instances that the planner remembers.
func (p *Planner) Tracks() int { return len(p.tracks) }
