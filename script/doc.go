// Package script runs test scenarios against a small deployment of real processes on
// loopback addresses. It implements the commands with which a scenario operates,
// disturbs and checks the deployment. docs/scenarios.md describes them.
package script
