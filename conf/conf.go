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
	Voters      []Contact `yaml:"voters"`  // voters to contact; the initial voters of a new group
	Voter       Voter     `yaml:"voter"`   // set on instances that vote
	KeyFile     string    `yaml:"keyfile"` // shared key of all processes of the group
	Timings     Timings   `yaml:"timings"`
	MaxSessions uint32    `yaml:"sessions"` // maximum number of open sessions to other daemons
	Tokens      []Token   `yaml:"tokens"`   // of the administration API
	// The following fields are for deployments on another platform.
	Adapter           string         `yaml:"adapter"` // empty, or AdapterPlatform
	Service           string         `yaml:"service"` // service of the local server
	ServerAddr        string         `yaml:"server"`  // address of the local server
	Seeds             []string       `yaml:"seeds"`   // an address of each voter to contact; only the host is used
	HeartbeatInterval time.Duration  `yaml:"beat"`    // interval of the local server's heartbeats
	MaxLostVoters     uint32         `yaml:"losses"`  // number of voters that may be lost at the same time
	PlatformLimits    PlatformLimits `yaml:"bounds"`
	Cores             float64        `yaml:"cores"`  // processor cores available to this process
	MemoryMB          uint32         `yaml:"memory"` // maximum memory of this process in MB; 0 is unknown
	LinkMbits         float64        `yaml:"rate"`   // bandwidth of this instance's network link in Mbit/s; 0 is unknown
}

// Addresses are the IP addresses and ports that the process listens on.
type Addresses struct {
	Link  string `yaml:"link"`  // for other daemons; announced to them
	Front string `yaml:"front"` // for callers; announced to them
	Local string `yaml:"local"` // for the local server
	Admin string `yaml:"admin"` // for operators
	// The following fields are for deployments on another platform.
	Control string `yaml:"control"` // for heartbeats of the local server, or calls of operators
	Ready   string `yaml:"ready"`   // for readiness probes
	Metrics string `yaml:"metrics"`
}

// PlatformLimits are the requirements of a platform. A limit of 0 is not set.
type PlatformLimits struct {
	MaxGrantTTL time.Duration `yaml:"hold"`     // maximum time for which a server keeps its grants after a heartbeat
	Drain       time.Duration `yaml:"drain"`    // time after which a leaving server receives no requests
	KillGrace   time.Duration `yaml:"grace"`    // time from the signal to stop until the process is killed
	Evacuation  time.Duration `yaml:"evacuate"` // time after the acknowledgement of an evacuation from which the servers get no requests
	RetryWindow time.Duration `yaml:"window"`   // window in which retries are counted
	RetryRatio  float64       `yaml:"share"`    // retries allowed in a window for each request of a service
	RetryBurst  float64       `yaml:"slack"`    // additional retries of a service allowed in a window, for all daemons together
}

// Contact is a voter to contact: its name and link address.
type Contact struct {
	Name string `yaml:"name"`
	Addr string `yaml:"addr"`
}

// Voter holds the settings of an instance that votes. Data is empty on others.
type Voter struct {
	Data string `yaml:"data"` // data folder created by init
	// First says that the whole deployment starts for the first time, with empty
	// data folders. It is used with an adapter only.
	First bool `yaml:"first"`
}

// Timings are the timings of a group; section 3 of the design page explains them.
// The maximum run time of requests is set for each service, by its ticket.
type Timings struct {
	Lease     time.Duration `yaml:"lease"`     // duration of a lease after its renewal
	Renew     time.Duration `yaml:"renew"`     // interval of lease renewals
	Heartbeat time.Duration `yaml:"heartbeat"` // interval of the leader's heartbeats
	Election  time.Duration `yaml:"election"`  // minimum election timeout; the maximum is twice that
	Grace     time.Duration `yaml:"grace"`     // maximum time for which a daemon may lack a ticket and keep its lease
	Drain     time.Duration `yaml:"drain"`     // maximum time for which a leaving endpoint receives new requests
}

// Token grants access to the administration API.
type Token struct {
	Name     string   `yaml:"name"`     // recorded as the sender of tickets
	File     string   `yaml:"file"`     // file with the secret
	Scope    Scope    `yaml:"scope"`    // what it allows
	Services []string `yaml:"services"` // services that its tickets may name; for ScopeTickets only
}

// Scope is the set of operations that a token allows. Every scope includes
// ScopeRead.
type Scope string

// Scopes of tokens.
const (
	ScopeRead       Scope = "read"       // read status, owners and tickets
	ScopeTickets    Scope = "tickets"    // apply tickets that name only the token's services
	ScopeEverything Scope = "everything" // apply all tickets, and drain instances
)

// UnmarshalText parses the name of a scope.
func (s *Scope) UnmarshalText(b []byte) error {
	switch v := Scope(b); v {
	case ScopeRead, ScopeTickets, ScopeEverything:
		*s = v
		return nil
	}
	return fmt.Errorf("%q is not a scope; give read, tickets or everything", b)
}

// Load reads and checks a settings file. Relative paths in it are relative to its
// folder. The error is a *yamlx.Error with all faults, or the error of reading the
// file.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, text)
}

// Parse parses and checks the text of a settings file. file is its path, for
// faults and for relative paths.
func Parse(file string, text []byte) (Settings, error) {
	s := Defaults()
	d := yamlx.Decode(file, text, &s)
	switch {
	case !d.Has(""): // not valid YAML; every field would be reported as missing
	case s.Adapter != "":
		checkPlatform(d, &s)
	default:
		checkStandalone(d, &s)
	}
	if err := d.Err(); err != nil {
		return Settings{}, err
	}
	dir := filepath.Dir(file)
	resolvePath(dir, &s.KeyFile)
	resolvePath(dir, &s.Voter.Data)
	for i := range s.Tokens {
		resolvePath(dir, &s.Tokens[i].File)
	}
	return s, nil
}

func resolvePath(dir string, path *string) {
	if *path != "" && !filepath.IsAbs(*path) {
		*path = filepath.Join(dir, *path)
	}
}

// Minimum lengths of secrets.
const (
	MinKeyBytes   = 32 // length of the output of the HMAC that uses the key
	MinTokenBytes = 16
)

// Key returns the shared key from its file.
func (s Settings) Key() ([]byte, error) { return readSecret("keyfile", s.KeyFile, MinKeyBytes) }

// Secret returns the token's secret from its file.
func (t Token) Secret() ([]byte, error) { return readSecret("token "+t.Name, t.File, MinTokenBytes) }

// readSecret returns the content of a file without surrounding white space. It
// fails when other users have access to the file.
func readSecret(name, file string, minBytes int) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return nil, fmt.Errorf("%s: %s is open to other users (mode %#o); set its mode to 0600", name, file, mode)
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	b = bytes.TrimSpace(b)
	if len(b) < minBytes {
		return nil, fmt.Errorf("%s: %s holds %d bytes; put at least %d random bytes into it", name, file, len(b), minBytes)
	}
	return b, nil
}
