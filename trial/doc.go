// Package trial runs the planner and other placement methods against the same
// seeded traces and compares imbalance, churn and unavailable time.
package trial
