package cmd

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/conf"
)

// reloadInterval is the interval at which the settings file is checked, since it may
// change without a signal.
const reloadInterval = 2 * time.Second

// reloader watches a settings file. A change of the voters to contact is applied at
// once; any other change needs a restart, and the log says so.
type reloader struct {
	file        string
	text        []byte
	current     conf.Settings
	setContacts func([]pollenlatch.Member)
}

// run checks the file at intervals and after each signal, until ctx ends.
func (r *reloader) run(ctx context.Context, hup <-chan os.Signal) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-hup:
			klog.InfoS("reloading settings", "file", r.file, "cause", "signal")
			r.reload()
		case <-t.C:
			r.reload()
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the file and applies what has changed. A file that can't be read or
// is invalid changes nothing.
func (r *reloader) reload() {
	text, err := os.ReadFile(r.file)
	if err != nil {
		klog.ErrorS(err, "cannot read settings", "file", r.file)
		return
	}
	if bytes.Equal(text, r.text) {
		return
	}
	r.text = text
	s, err := conf.Parse(r.file, text)
	if err != nil {
		klog.ErrorS(err, "settings are invalid; the previous ones stay in force", "file", r.file)
		return
	}
	if !reflect.DeepEqual(s.Voters, r.current.Voters) {
		klog.InfoS("settings changed", "file", r.file, "voters", s.Voters, "before", r.current.Voters)
		r.setContacts(contactsToMembers(s.Voters))
	}
	newRest, oldRest := s, r.current
	newRest.Voters, newRest.Seeds, newRest.Voter.First = nil, nil, false
	oldRest.Voters, oldRest.Seeds, oldRest.Voter.First = nil, nil, false
	if !reflect.DeepEqual(newRest, oldRest) {
		klog.InfoS("some of the changed settings take effect after a restart only", "file", r.file)
	}
	r.current = s
}

// contactsToMembers returns contacts as voters with an unknown incarnation.
func contactsToMembers(list []conf.Contact) []pollenlatch.Member {
	out := make([]pollenlatch.Member, 0, len(list))
	for _, contact := range list {
		out = append(out, pollenlatch.Member{Name: contact.Name, Addr: contact.Addr})
	}
	return out
}
