// Package storer is the port to the platform's object store, and its HTTP client.
//
// Objects are immutable: a name always has the same content, so Put may be
// repeated.
//
// # Usage
//
//	st, err := storer.NewClient("127.0.0.1:7101")
//	err = st.Put(ctx, "config/17-4be2", content)
//	content, err := st.Get(ctx, "config/17-4be2")
package storer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"cornellanding.example/port/receiver"
)

// ObjectsPath is the prefix of the object store's paths.
const ObjectsPath = "/objects/"

const maxObjectBytes = 64 << 20

// maxHeaderBytes bounds the status line and the headers of a response.
const maxHeaderBytes = 64 << 10

// Objects is the port to the object store. Get fails for an object that does not
// exist; the Client returns a *StatusError with status 404.
type Objects interface {
	Put(ctx context.Context, name string, content []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// StatusError is a response of the object store with another status than 200.
type StatusError struct {
	Object string
	Status int
}

// Error implements error.
func (er *StatusError) Error() string {
	return fmt.Sprintf("storer: object %s: status %d", er.Object, er.Status)
}

// Client is the HTTP client of the object store. It is safe for use by several
// goroutines and never retries.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client for the store at address, as IP:port.
func NewClient(address string) (*Client, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("storer: address %q: %w", address, err)
	}
	return &Client{base: "http://" + address, client: &http.Client{Transport: receiver.New(&http.Transport{MaxResponseHeaderBytes: maxHeaderBytes})}}, nil
}

// Put implements Objects.
func (cl *Client) Put(ctx context.Context, name string, content []byte) error {
	_, err := cl.call(ctx, http.MethodPut, name, content)
	return err
}

// Get implements Objects.
func (cl *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return cl.call(ctx, http.MethodGet, name, nil)
}

func (cl *Client) call(ctx context.Context, method, name string, content []byte) ([]byte, error) {
	re, err := http.NewRequestWithContext(ctx, method, cl.base+ObjectsPath+name, bytes.NewReader(content))
	if err != nil {
		return nil, fmt.Errorf("storer: create request: %w", err)
	}
	answer, err := cl.client.Do(re)
	if err != nil {
		return nil, fmt.Errorf("storer: call: %w", err)
	}
	defer answer.Body.Close()
	got, err := io.ReadAll(http.MaxBytesReader(nil, answer.Body, maxObjectBytes))
	if err != nil {
		return nil, fmt.Errorf("storer: read response: %w", err)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, &StatusError{Object: name, Status: answer.StatusCode}
	}
	return got, nil
}
