// Package trial simulates the planner and baseline placement methods on the same
// seeded traces, and compares imbalance, churn and unavailable time. It also
// compares failure detectors on simulated heartbeats.
package trial
