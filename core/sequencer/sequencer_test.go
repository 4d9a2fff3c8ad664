package sequencer

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestOrder checks that sequence numbers rise with the era before the version, and that a kept
// number lies between two versions of the store.
func TestOrder(t *testing.T) {
	is := is.New(t)
	join := func(era, version uint64) uint64 {
		number, err := Join(era, version)
		is.NoErr(err)
		is.Equal(Era(number), era)
		is.Equal(Version(number), version)
		return number
	}
	ascending := []uint64{
		join(0, 1), join(0, 900), join(0, maxVersion),
		join(1, 1), join(1, 7), Keep(join(1, 7)), join(1, 8), join(1, maxVersion),
		join(2, 1), Keep(join(2, 1)), join(2, 2), join(MaxEra, maxVersion),
	}
	for i := range ascending[1:] {
		is.True(ascending[i] < ascending[i+1])
	}
	is.Equal(Version(Keep(join(1, 7))), uint64(7))
	is.True(IsKept(Keep(join(1, 7))))
	is.True(!IsKept(join(1, 7)) && !IsKept(join(0, 7)))
}

func TestJoinRange(t *testing.T) {
	is := is.New(t)
	for _, pair := range [][2]uint64{{MaxEra + 1, 1}, {1, maxVersion + 1}} {
		_, err := Join(pair[0], pair[1])
		var re *RangeError
		is.True(errors.As(err, &re))
	}
	for _, era := range []uint64{0, 1, MaxEra} {
		number, err := Join(era, 0)
		is.NoErr(err)
		is.Equal(number, uint64(0)) // no row, in any era
	}
}

func TestFormat(t *testing.T) {
	is := is.New(t)
	number, err := Join(2, 47)
	is.NoErr(err)
	is.Equal(Format(47), "47")
	is.Equal(Format(number), "2.47")
	is.Equal(Format(Keep(number)), "2.47+")
}
