package main

import (
	_ "embed"
	"strings"
)

// namesText lists the names of the users' protocol, each after the stand-ins' own. They stand in a
// text file, since the repository keeps them out of its Go code.
//
//go:embed names.txt
var namesText string

var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	parsed := map[string]string{}
	for line := range strings.Lines(text) {
		if own, theirs, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			parsed[own] = theirs
		}
	}
	return parsed
}

// wire returns a name of the users' protocol.
func wire(own string) string {
	theirs, ok := names[own]
	if !ok {
		panic("no name for " + own)
	}
	return theirs
}
