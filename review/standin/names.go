package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names are the platform's names on the wire and in the template of the settings.
var names = func() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
}()
