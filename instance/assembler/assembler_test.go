package assembler

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestBody guards against pieces that are lost or read in another order.
func TestBody(t *testing.T) {
	is := is.New(t)
	bo := New([]byte("one"))
	bo.Append(nil)
	bo.Append([]byte(" two"))
	read, err := io.ReadAll(bo.NewReader())
	is.NoErr(err)
	is.Equal(string(read), "one two")
	is.Equal(string(bo.Bytes()), "one two")
	is.Equal(bo.Len(), int64(len(read)))
	is.Equal(len((&Body{}).Bytes()), 0)
}

// TestRead guards against bodies that are cut, held beyond what was taken for them, or taken
// as complete although their connection broke.
func TestRead(t *testing.T) {
	is := is.New(t)
	content := strings.Repeat("0123456789", 30<<10)
	for _, length := range []int64{-1, int64(len(content))} {
		taken := int64(0)
		take := func(bytes int64) bool { taken += bytes; return taken <= 400<<10 }
		bo, err := Read(strings.NewReader(content), length, take)
		is.NoErr(err)
		is.Equal(string(bo.Bytes()), content)
		is.True(taken >= bo.Len() && taken < bo.Len()+maxPiece)
		_, err = Read(strings.NewReader(content), length, take)
		is.Equal(err, ErrNoRoom)
		_, err = Read(io.MultiReader(strings.NewReader(content[1:]), &brokenReader{}), length, func(int64) bool { return true })
		is.Equal(err, errBroken)
	}
}

var errBroken = errors.New("broken")

type brokenReader struct{}

// Read implements io.Reader.
func (*brokenReader) Read([]byte) (int, error) { return 0, errBroken }
