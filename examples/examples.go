// Package examples embeds example catalogues and settings files.
//
// # Usage
//
//	content, err := examples.Catalogue("sapateira")
package examples

import (
	"embed"
	"fmt"
)

//go:embed */*.yaml
var files embed.FS

// Catalogue returns the catalogue of an example, as YAML. It fails if there is no
// example of that name.
func Catalogue(name string) ([]byte, error) { return read(name, "catalogue.yaml") }

// Settings returns the settings of one VM of an example, as YAML. It fails if there
// is no example of that name.
func Settings(name string) ([]byte, error) { return read(name, "vm.yaml") }

func read(name, file string) ([]byte, error) {
	content, err := files.ReadFile(name + "/" + file)
	if err != nil {
		return nil, fmt.Errorf("examples: no example %q: %w", name, err)
	}
	return content, nil
}
