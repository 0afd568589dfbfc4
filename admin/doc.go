// Package admin implements the administration API: JSON over HTTP for operators,
// monitoring systems and the program's own commands. docs/api.md describes it.
package admin
