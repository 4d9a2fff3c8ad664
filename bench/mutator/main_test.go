package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestMutationsApply checks that the text of each mutation still occurs exactly
// once in its file.
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
