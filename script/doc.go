// Package script runs a small deployment of real processes on loopback and
// gives scenarios the commands to disturb it: docs/scenarios.md describes them.
package script
