// Package conf holds the settings of one process, read from a YAML file.
package conf

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"pollenlatch/yamlx"
)

// Settings are the settings of one process.
type Settings struct {
	Name        string    `yaml:"name"`   // of the instance, unique in the group
	DC          string    `yaml:"dc"`     // data centre
	Region      string    `yaml:"region"` // of the data centre
	Group       string    `yaml:"group"`  // of voters that decide for this instance
	Addresses   Addresses `yaml:"addresses"`
	Voters      []Contact `yaml:"voters"`  // voters to contact; the first voters of a new group
	Voter       Voter     `yaml:"voter"`   // set on instances that vote
	KeyFile     string    `yaml:"keyfile"` // shared key of all processes of the group
	Timings     Timings   `yaml:"timings"`
	MaxSessions uint32    `yaml:"sessions"` // most sessions to other daemons that are open at once
	Tokens      []Token   `yaml:"tokens"`   // of the administration API
	// The following are for deployments on another platform; Adapter names it.
	Adapter           string         `yaml:"adapter"` // empty, or platform
	Service           string         `yaml:"service"` // of the server beside this process
	Server            string         `yaml:"server"`  // address of that server
	Seeds             []string       `yaml:"seeds"`   // some address of each voter to contact; the link's port stands for theirs
	HeartbeatInterval time.Duration  `yaml:"beat"`    // interval of the server's heartbeats
	MaxLostVoters     uint32         `yaml:"losses"`  // voters that may be lost at once
	PlatformLimits    PlatformLimits `yaml:"bounds"`
	Cores             float64        `yaml:"cores"`  // share of a processor that this process has
	MemoryMB          uint32         `yaml:"memory"` // MB that this process may use
	LinkMbits         float64        `yaml:"rate"`   // of this instance's network link in Mbit/s; 0: unknown
}

// Addresses are the IP addresses and ports that the process listens on.
type Addresses struct {
	Link  string `yaml:"link"`  // other daemons; announced to them
	Front string `yaml:"front"` // callers; announced to them
	Local string `yaml:"local"` // the endpoint beside this process
	Admin string `yaml:"admin"` // operators
	// The following are for an adapter.
	Control string `yaml:"control"` // heartbeats of the server, or calls of operators
	Ready   string `yaml:"ready"`   // readiness probes
	Metrics string `yaml:"metrics"`
}

// PlatformLimits are what a platform demands. A bound of 0 is not demanded.
type PlatformLimits struct {
	MaxGrantTTL time.Duration `yaml:"hold"`   // longest time for which a server holds keys after a heartbeat
	Drain       time.Duration `yaml:"drain"`  // a leaving server gets no request after this
	KillGrace   time.Duration `yaml:"grace"`  // from the signal to end until the process is killed
	RetryWindow time.Duration `yaml:"window"` // over which repeats are counted
	RetryRatio  float64       `yaml:"share"`  // repeats for each request of a service in a window
	RetryBurst  float64       `yaml:"slack"`  // repeats of a service in a window besides, of all daemons together
}

// Contact is a voter and its link address.
type Contact struct {
	Name string `yaml:"name"`
	Addr string `yaml:"addr"`
}

// Voter is the voter section. It is absent when Data is empty.
type Voter struct {
	Data string `yaml:"data"` // data folder made by init
	// First says that the whole deployment starts for the first time, with
	// empty folders; for an adapter.
	First bool `yaml:"first"`
}

// Timings are the times of section 3 of the design page. The longest run of a
// request belongs to the service and stands in its ticket.
type Timings struct {
	Lease     time.Duration `yaml:"lease"`     // a lease after its renewal
	Renew     time.Duration `yaml:"renew"`     // interval of renewals
	Heartbeat time.Duration `yaml:"heartbeat"` // interval of the leader's heartbeats
	Election  time.Duration `yaml:"election"`  // shortest election timeout; the longest is twice that
	Grace     time.Duration `yaml:"grace"`     // a daemon may lag behind a ticket for this long
	Drain     time.Duration `yaml:"drain"`     // a leaving endpoint gets new work for at most this long
}

// Token gives the holder of a secret a scope in the administration API.
type Token struct {
	Name     string   `yaml:"name"`     // recorded as the sender of tickets
	File     string   `yaml:"file"`     // holds the secret
	Scope    Scope    `yaml:"scope"`    // what it allows
	Services []string `yaml:"services"` // for scope tickets: the services that its tickets may name
}

// Scope is what a token allows. Each includes read.
type Scope string

// Scopes of tokens.
const (
	ScopeRead       Scope = "read"       // status, owners, tickets
	ScopeTickets    Scope = "tickets"    // tickets that name only the token's services
	ScopeEverything Scope = "everything" // all tickets, draining
)

// UnmarshalText reads the name of a scope.
func (s *Scope) UnmarshalText(b []byte) error {
	switch v := Scope(b); v {
	case ScopeRead, ScopeTickets, ScopeEverything:
		*s = v
		return nil
	}
	return fmt.Errorf("%q is not a scope; give read, tickets or everything", b)
}

// Load reads and checks a settings file. Relative paths in it start at its
// folder. The error is a *yamlx.Error with every fault, or that of reading.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, text)
}

// Parse reads and checks settings from a text. File names it in faults.
func Parse(file string, text []byte) (Settings, error) {
	s := Defaults()
	d := yamlx.Decode(file, text, &s)
	switch {
	case !d.Has(""): // the text is no YAML, and every field would be missing
	case s.Adapter != "":
		adapt(d, &s)
	default:
		check(d, &s)
	}
	if err := d.Err(); err != nil {
		return Settings{}, err
	}
	dir := filepath.Dir(file)
	resolve(dir, &s.KeyFile)
	resolve(dir, &s.Voter.Data)
	for i := range s.Tokens {
		resolve(dir, &s.Tokens[i].File)
	}
	return s, nil
}

func resolve(dir string, path *string) {
	if *path != "" && !filepath.IsAbs(*path) {
		*path = filepath.Join(dir, *path)
	}
}

// Lengths of secrets in bytes.
const (
	MinKeyBytes   = 32 // as long as the output of the HMAC that it keys
	MinTokenBytes = 16
)

// Key returns the shared key from its file.
func (s Settings) Key() ([]byte, error) { return secret("keyfile", s.KeyFile, MinKeyBytes) }

// Secret returns the token's secret from its file.
func (t Token) Secret() ([]byte, error) { return secret("token "+t.Name, t.File, MinTokenBytes) }

// secret reads a file that nobody else may read, without blank space around.
func secret(what, file string, least int) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", what, err)
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return nil, fmt.Errorf("%s: %s is open to other users (mode %#o); set its mode to 0600", what, file, mode)
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", what, err)
	}
	b = bytes.TrimSpace(b)
	if len(b) < least {
		return nil, fmt.Errorf("%s: %s holds %d bytes; put at least %d random bytes into it", what, file, len(b), least)
	}
	return b, nil
}
