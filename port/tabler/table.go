// Package tabler is the port to the platform's transactional table service, and its
// HTTP client.
//
// A row has a version that grows with each write; an absent row has version 0. A
// transaction is conditional on the versions of rows, and writes all of its rows
// or none.
//
// # Usage
//
//	ta, err := tabler.NewClient("127.0.0.1:7100")
//	rows, err := ta.Read(ctx, tabler.Query{Keys: []string{"config"}})
//	version, err := ta.Commit(ctx, tabler.Transaction{
//		Conditions: []tabler.Condition{{Key: "config", Version: rows[0].Version}},
//		Writes:     []tabler.Write{{Key: "config", Value: value}},
//	})
//	var co *tabler.ConflictError
//	if errors.As(err, &co) { ... read again ... }
//
// After any other error than a ConflictError or a RefusedError the outcome is
// unknown: the transaction may have been carried out. Read the rows again and
// compare.
package tabler

import (
	"context"
	"fmt"
)

// Row is one row of the table.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Query selects rows by key and by prefix of the key.
type Query struct {
	Keys     []string
	Prefixes []string
	// VersionsOnly omits the values from the result.
	VersionsOnly bool
}

// Condition is the version that a row must have, 0 for an absent row.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets a row's value.
type Write struct {
	Key   string
	Value []byte
}

// Transaction writes all rows if all conditions hold, and none otherwise.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Table is the port to the table service. Read omits absent rows. Commit returns
// the new version of the first row that it wrote; its errors are described in the
// package comment.
type Table interface {
	Read(ctx context.Context, qu Query) ([]Row, error)
	Commit(ctx context.Context, tx Transaction) (uint64, error)
}

// EraSource is implemented by a Table whose service may come back from an older copy of
// itself. The versions of its rows are then sequence numbers, see package sequencer.
type EraSource interface {
	// Era returns the service's latest known era.
	Era() uint64
}

// EraOf returns the latest known era of a table's service, 0 for a service that loses nothing.
func EraOf(ta Table) uint64 {
	if es, ok := ta.(EraSource); ok {
		return es.Era()
	}
	return 0
}

// ConflictError says that a transaction wrote nothing because the row Key is not
// at the expected version.
type ConflictError struct {
	Key      string
	Expected uint64
	Found    uint64
}

// Error implements error.
func (er *ConflictError) Error() string {
	return fmt.Sprintf("tabler: conflict: row %s is at version %d, expected %d", er.Key, er.Found, er.Expected)
}

// RefusedError says that the service refused the call and nothing was written.
type RefusedError struct {
	Status int
	Reason string
}

// Error implements error.
func (er *RefusedError) Error() string {
	return fmt.Sprintf("tabler: refused with status %d: %s", er.Status, er.Reason)
}

// Find returns the row with that key, or a row at version 0 if there is none.
func Find(rows []Row, key string) Row {
	for _, ro := range rows {
		if ro.Key == key {
			return ro
		}
	}
	return Row{Key: key}
}
