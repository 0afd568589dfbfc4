package admin

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"pollenlatch"
)

func (s *Server) status(c *call) {
	view := s.control.View()
	st := Status{
		Process:    s.control.Status(),
		NextTicket: view.NextTicket(),
		Voters:     view.Voters(),
		Services:   []ServiceStatus{},

		EvacuatedDCs: append([]string{}, view.EvacuatedDCs()...),
	}
	if st.Voters == nil {
		st.Voters = []pollenlatch.Member{}
	}
	instances := view.Instances()
	for _, i := range instances {
		if i.Alive() {
			st.Alive++
		} else {
			st.Lost++
		}
	}
	for _, svc := range view.Services() {
		st.Services = append(st.Services, serviceStatus(view, svc))
	}
	if c.QueryArgs().GetBool("instances") {
		st.Instances = instances
	}
	c.respond(fasthttp.StatusOK, st)
}

func serviceStatus(view View, svc pollenlatch.Service) ServiceStatus {
	st := ServiceStatus{Name: svc.Name, Keyed: svc.Keyed, Ranges: svc.NumRanges()}
	view.EachShard(svc.Name, func(o pollenlatch.Owner) bool {
		if o.Key != "" {
			st.HotKeys++
		}
		if o.Instance == 0 {
			st.Unowned++
		}
		if o.Frozen() {
			st.Moving++
		}
		return true
	})
	for _, i := range view.Endpoints(svc.Name) {
		st.Endpoints++
		if i.Usable() {
			st.Usable++
		}
	}
	return st
}

func (s *Server) owner(c *call) {
	service, key := string(c.QueryArgs().Peek("service")), string(c.QueryArgs().Peek("key"))
	if service == "" || key == "" {
		c.respondError(fasthttp.StatusBadRequest, "give the query arguments service and key")
		return
	}
	view := s.control.View()
	o, ok := view.Owner(service, key)
	if !ok {
		c.respondError(fasthttp.StatusNotFound, "there is no service %q", service)
		return
	}
	c.respond(fasthttp.StatusOK, s.describeOwner(view, key, o))
}

// describeOwner returns who owns a key, since when and why.
func (s *Server) describeOwner(view View, key string, o pollenlatch.Owner) KeyOwner {
	out := KeyOwner{
		Service:   o.Service,
		Key:       key,
		Range:     o.Range,
		HotKey:    o.Key != "",
		Fence:     o.Fence,
		Previous:  instanceName(view, o.Previous),
		Next:      instanceName(view, o.Next),
		NoRecords: o.NoRecords,
		Reason:    ownerReason(view, o),
		Version:   view.Version(),
	}
	if i, ok := view.Instance(o.Instance); ok {
		out.Instance = &i
	}
	if assignment, ok := s.control.Assignment(o); ok {
		out.Since = &assignment.AppliedAt
		if assignment.Reason != "" && o.Instance != 0 {
			out.Reason += ": " + assignment.Reason
		}
	}
	return out
}

// ownerReason describes the ownership record of a shard in words.
func ownerReason(view View, o pollenlatch.Owner) string {
	switch {
	case o.Instance == 0 && o.Fence == 0:
		return "no instance has owned it yet"
	case o.Instance == 0 && o.Previous != 0:
		return fmt.Sprintf("no owner since the lease of %s ended", instanceName(view, o.Previous))
	case o.Instance == 0:
		return "no owner"
	case o.Frozen() && o.Next == o.Instance:
		return "its own record is being removed"
	case o.Frozen():
		return fmt.Sprintf("being handed over to %s", instanceName(view, o.Next))
	case o.NoRecords:
		return fmt.Sprintf("assigned by log entry %d without the records of its last owner", o.Fence)
	default:
		return fmt.Sprintf("assigned by log entry %d", o.Fence)
	}
}

// instanceName returns the name of an instance, "" for none, and its number when it
// is no longer known.
func instanceName(view View, id pollenlatch.InstanceID) string {
	if id == 0 {
		return ""
	}
	if i, ok := view.Instance(id); ok {
		return i.Name
	}
	return fmt.Sprintf("instance %d", id)
}
