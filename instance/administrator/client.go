package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"cornellanding.example/port/receiver"
)

const clientTimeout = 15 * time.Second

// APIError is an error response of the API.
type APIError struct {
	Status int
	Code   string
	Reason string
	// Found is the current version of the configuration, on a conflict.
	Found uint64
}

// Error implements error.
func (er *APIError) Error() string {
	return fmt.Sprintf("%s (%s, status %d)", er.Reason, er.Code, er.Status)
}

// Client calls the API of an instance. It never retries. An error response is
// returned as an *APIError.
type Client struct {
	base   string
	key    string
	client *http.Client
}

// NewClient returns a client for the API at address, as host:port, with the
// operator key. Calls time out after 15 s.
func NewClient(address, key string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	return &Client{base: "http://" + address, key: key, client: &http.Client{Timeout: clientTimeout, Transport: receiver.New(transport)}}
}

// Edit commits a change and returns the new version of the configuration.
func (cl *Client) Edit(ctx context.Context, body WireEdit) (WireVersion, error) {
	return call[WireVersion](ctx, cl, http.MethodPost, EditPath, body)
}

// Forget revokes the incarnation of a backend server whose VM, as the operator
// confirms, is destroyed.
func (cl *Client) Forget(ctx context.Context, body WireForget) error {
	_, err := call[struct{}](ctx, cl, http.MethodPost, ForgetPath, body)
	return err
}

// Config returns the current configuration.
func (cl *Client) Config(ctx context.Context) (WireConfig, error) {
	return call[WireConfig](ctx, cl, http.MethodGet, ConfigPath, nil)
}

// Status returns the state of the instance.
func (cl *Client) Status(ctx context.Context) (WireStatus, error) {
	return call[WireStatus](ctx, cl, http.MethodGet, StatusPath, nil)
}

// Warnings returns the warnings that are active now.
func (cl *Client) Warnings(ctx context.Context) ([]WireWarning, error) {
	return call[[]WireWarning](ctx, cl, http.MethodGet, WarningsPath, nil)
}

// Explain returns the owner of a key in each exclusive service.
func (cl *Client) Explain(ctx context.Context, key string) ([]WireExplanation, error) {
	return call[[]WireExplanation](ctx, cl, http.MethodGet, ExplainPath+"?key="+url.QueryEscape(key), nil)
}

func call[R any](ctx context.Context, cl *Client, method, path string, body any) (R, error) {
	var result R
	content, err := json.Marshal(body)
	if err != nil {
		return result, fmt.Errorf("administrator: encode request: %w", err)
	}
	re, err := http.NewRequestWithContext(ctx, method, cl.base+path, bytes.NewReader(content))
	if err != nil {
		return result, fmt.Errorf("administrator: create request: %w", err)
	}
	re.Header.Set("Authorization", "Bearer "+cl.key)
	answer, err := cl.client.Do(re)
	if err != nil {
		return result, fmt.Errorf("administrator: call: %w", err)
	}
	defer answer.Body.Close()
	content, err = io.ReadAll(answer.Body)
	if err != nil {
		return result, fmt.Errorf("administrator: read response: %w", err)
	}
	if answer.StatusCode != http.StatusOK {
		return result, toError(answer.StatusCode, content)
	}
	if err := json.Unmarshal(content, &result); err != nil {
		return result, fmt.Errorf("administrator: decode response: %w", err)
	}
	return result, nil
}

func toError(status int, content []byte) error {
	var we WireError
	if err := json.Unmarshal(content, &we); err != nil {
		return &APIError{Status: status, Code: "unexpected", Reason: string(bytes.TrimSpace(content))}
	}
	return &APIError{Status: status, Code: we.Code, Reason: we.Reason, Found: we.Found}
}
