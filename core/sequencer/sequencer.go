// Package sequencer orders the versions of a store that may come back from an older copy of
// itself and then gives out the same version numbers again.
//
// The store counts how often that has happened, which is its era. A sequence number joins the
// era with a version of the store, so that each number of a later era is higher than all of
// the earlier ones. Sequence numbers of era 0 equal the versions of the store. 0 stands for
// the absence of a row in any era.
//
// # Usage
//
//	number, err := sequencer.Join(era, version)
//	era, version := sequencer.Era(number), sequencer.Version(number)
//	isNewer := number > other
package sequencer

import (
	"fmt"
	"strconv"
)

const (
	// MaxEra is the highest era, and maxVersion the highest version of a store.
	MaxEra     = 1<<20 - 1
	maxVersion = 1<<40 - 1
	// eraShift is the position of the era in a sequence number. Above era 0, bit 0 marks a
	// kept number.
	eraShift = 41
	keptBit  = 1
)

// RangeError reports an era or a version that is too high for a sequence number.
type RangeError struct {
	Field string
	Value uint64
	Max   uint64
}

// Error implements error.
func (er *RangeError) Error() string {
	return fmt.Sprintf("sequencer: %s: %d is above %d", er.Field, er.Value, er.Max)
}

// Join returns the sequence number of a version in an era. The error is a *RangeError.
func Join(era, version uint64) (uint64, error) {
	switch {
	case era > MaxEra:
		return 0, &RangeError{Field: "era", Value: era, Max: MaxEra}
	case version > maxVersion:
		return 0, &RangeError{Field: "version", Value: version, Max: maxVersion}
	case version == 0:
		return 0, nil
	case era == 0:
		return version, nil
	}
	return era<<eraShift | version<<1, nil
}

// Era returns the era of a sequence number.
func Era(number uint64) uint64 { return number >> eraShift }

// Version returns the store's version in a sequence number.
func Version(number uint64) uint64 {
	if Era(number) == 0 {
		return number
	}
	return number & (1<<eraShift - 1) >> 1
}

// Keep returns the sequence number of content that an instance keeps from an earlier era,
// because what the store holds at number is older. It is above number and below the next
// version of the store. The era must not be 0.
func Keep(number uint64) uint64 { return number | keptBit }

// IsKept reports whether the sequence number was returned by Keep.
func IsKept(number uint64) bool { return Era(number) != 0 && number&keptBit != 0 }

// Format returns a sequence number as text for logs: "47", "2.47" in era 2, and "2.47+" if
// it is kept.
func Format(number uint64) string {
	if Era(number) == 0 {
		return strconv.FormatUint(number, 10)
	}
	text := fmt.Sprintf("%d.%d", Era(number), Version(number))
	if IsKept(number) {
		text += "+"
	}
	return text
}
