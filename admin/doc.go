// Package admin is the administration API: JSON over HTTP for operators, for
// monitoring and for the commands of the program. docs/api.md describes it.
package admin
