package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names holds the platform's names of headers, fields, paths and variables. They stand in
// a file of their own, since Go sources other than the router's adapter don't hold them.
var names = readNames()

func readNames() map[string]string {
	read := map[string]string{}
	if err := json.Unmarshal(namesFile, &read); err != nil {
		panic(err) // the file is part of the program
	}
	return read
}
