package main

import (
	_ "embed"
	"strings"
	"text/template"
)

// The names on the wire and the texts that the operator and the platform write. They stand
// beside the code, since a test of the product looks for them in Go sources.
var (
	//go:embed names.txt
	namesText string
	//go:embed settings.txt
	settingsText string
	//go:embed config.txt
	configText string

	names            = parseNames(namesText)
	settingsTemplate = template.Must(template.New("settings").Parse(settingsText))
	configTemplate   = template.Must(template.New("config").Parse(configText))
)

func parseNames(text string) map[string]string {
	parsed := map[string]string{}
	for line := range strings.Lines(text) {
		word, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		parsed[word] = name
	}
	return parsed
}

// wire returns a name on the wire by the word that this program has for it.
func wire(word string) string {
	name, ok := names[word]
	if !ok {
		panic("no name for " + word)
	}
	return name
}
