package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestMutationsApply keeps the list in step with the code.
func TestMutationsApply(t *testing.T) {
	for _, mu := range mutations {
		t.Run(mu.what, func(t *testing.T) {
			is := is.New(t)
			content, err := os.ReadFile(filepath.Join("..", "..", mu.file))
			is.NoErr(err)
			is.Equal(strings.Count(string(content), mu.old), 1)
		})
	}
}
