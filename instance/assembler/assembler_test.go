package assembler

import (
	"io"
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
