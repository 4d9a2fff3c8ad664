package tabler

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"cornellanding.example/port/receiver"
)

// The paths of the table service.
const (
	ReadPath   = "/table/read"
	CommitPath = "/table/commit"
)

const maxResponseBytes = 64 << 20

// maxHeaderBytes bounds the status line and the headers of a response.
const maxHeaderBytes = 64 << 10

// WireRow is the JSON of a row.
type WireRow struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// WireRead is the JSON body of a read.
type WireRead struct {
	Keys     []string `json:"keys,omitempty"`
	Prefixes []string `json:"prefixes,omitempty"`
	// VersionsOnly omits the values from the response.
	VersionsOnly bool `json:"versionsOnly,omitempty"`
}

// WireRows is the response to a read.
type WireRows struct {
	Rows []WireRow `json:"rows"`
}

// WireCommit is the JSON body of a transaction. The versions of writes are unused.
type WireCommit struct {
	Conditions []WireRow `json:"conditions"`
	Writes     []WireRow `json:"writes"`
}

// WireCommitted is the response to a transaction that was carried out. Version is
// that of the first row written.
type WireCommitted struct {
	Version uint64 `json:"version"`
}

// WireConflict is the response to a transaction with a condition that did not
// hold.
type WireConflict struct {
	Key      string `json:"key"`
	Expected uint64 `json:"expected"`
	Found    uint64 `json:"found"`
}

// Client is the HTTP client of the table service. It is safe for use by
// several goroutines and never retries.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client for the service at address, as IP:port.
func NewClient(address string) (*Client, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("tabler: address %q: %w", address, err)
	}
	return &Client{base: "http://" + address, client: &http.Client{Transport: receiver.New(&http.Transport{MaxResponseHeaderBytes: maxHeaderBytes})}}, nil
}

// Read implements Table.
func (cl *Client) Read(ctx context.Context, qu Query) ([]Row, error) {
	var answer WireRows
	if err := cl.call(ctx, ReadPath, WireRead(qu), &answer); err != nil {
		return nil, err
	}
	rows := make([]Row, 0, len(answer.Rows))
	for _, wr := range answer.Rows {
		rows = append(rows, Row(wr))
	}
	return rows, nil
}

// Commit implements Table.
func (cl *Client) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	var body WireCommit
	for _, co := range tx.Conditions {
		body.Conditions = append(body.Conditions, WireRow{Key: co.Key, Version: co.Version})
	}
	for _, wr := range tx.Writes {
		body.Writes = append(body.Writes, WireRow{Key: wr.Key, Value: wr.Value})
	}
	var answer WireCommitted
	err := cl.call(ctx, CommitPath, body, &answer)
	return answer.Version, err
}

func (cl *Client) call(ctx context.Context, path string, body, into any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("tabler: encode request: %w", err)
	}
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.base+path, bytes.NewReader(content))
	if err != nil {
		return fmt.Errorf("tabler: create request: %w", err)
	}
	answer, err := cl.client.Do(re)
	if err != nil {
		return fmt.Errorf("tabler: call: %w", err)
	}
	defer answer.Body.Close()
	content, err = io.ReadAll(http.MaxBytesReader(nil, answer.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("tabler: read response: %w", err)
	}
	return decodeAnswer(answer.StatusCode, content, into)
}

func decodeAnswer(status int, content []byte, into any) error {
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(content, into); err != nil {
			return fmt.Errorf("tabler: decode response: %w", err)
		}
		return nil
	case http.StatusConflict:
		var wc WireConflict
		if err := json.Unmarshal(content, &wc); err != nil {
			return fmt.Errorf("tabler: decode conflict: %w", err)
		}
		return &ConflictError{Key: wc.Key, Expected: wc.Expected, Found: wc.Found}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest:
		return &RefusedError{Status: status, Reason: string(bytes.TrimSpace(content))}
	default:
		return fmt.Errorf("tabler: unexpected status %d", status)
	}
}
