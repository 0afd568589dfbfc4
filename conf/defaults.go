package conf

import "time"

// Defaults returns the default settings. The names, the link and front addresses,
// the voters and the key file have no default. Section 3 of the design page gives
// the reasons for the timings.
func Defaults() Settings {
	return Settings{
		Region: "default",
		Group:  "main",
		Addresses: Addresses{
			Local: "127.0.0.1:7001",
			Admin: "127.0.0.1:7002",
		},
		Timings: Timings{
			Lease:     500 * time.Millisecond,
			Renew:     100 * time.Millisecond,
			Heartbeat: 40 * time.Millisecond,
			Election:  120 * time.Millisecond,
			Grace:     2 * time.Second,
			Drain:     2 * time.Second,
		},
		// 256 sessions of 17.7 KB take 4.5 MB of the 32 MB for control messages.
		MaxSessions: 256,
	}
}
