package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// The HTTP form of the object API.
const (
	// ObjectPath is followed by the key.
	ObjectPath = "/v1/objects/"
	// WatchPath is followed by the key.
	WatchPath = "/v1/watch/"
	// ListPath takes the query parameter "prefix".
	ListPath = "/v1/list"
	// RevisionHeader carries the object's revision in answers, and the expected one in writes.
	RevisionHeader = "X-Object-Revision"
	// WatchWait is how long the server lets a watch wait before it answers
	// "no content" and the client asks again. Connections that went silent are
	// given up a little later.
	MaxWatchWait = 20 * time.Second
)

const (
	callTimeout = 3 * time.Second
	dialTimeout = 1 * time.Second
	watchGrace  = 5 * time.Second
	idleTimeout = 30 * time.Second
	maxIdle     = 8
	// maxErrorBytes bounds how much of an error's body is read.
	maxErrorBytes = 4 << 10
	// maxListBytes bounds the answer to a list.
	maxListBytes = 16 << 20
)

// StatusError tells that the platform answered with a status that has no meaning here.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// ListEntry is an element of the answer to a list.
type ListEntry struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Option changes an HTTP client.
type Option func(*httpClient)

// WithTransport replaces how connections are made.
func WithTransport(rt http.RoundTripper) Option {
	return func(c *httpClient) { c.http.Transport = rt }
}

type httpClient struct {
	base string
	http http.Client
}

// NewHTTPClient returns a client of the object API at a URL such as "http://127.0.0.1:7000".
func NewHTTPClient(baseURL string, opts ...Option) Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &httpClient{
		base: baseURL,
		http: http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout,
		}},
	}
	for _, opt := range opts {
		opt(c)
	}
	return Client{Get: c.get, Put: c.put, Delete: c.remove, List: c.list, Watch: c.watch}
}

// answer is a response whose body has been read.
type answer struct {
	status   int
	revision uint64
	body     []byte
}

// send returns *UnavailableError when the call cannot have taken effect, and
// *UnknownOutcomeError when it may have.
func (c *httpClient) send(ctx context.Context, method, path, key string, body []byte, revision uint64) (answer, error) {
	write := method != http.MethodGet
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, &UnavailableError{Key: key, Cause: err}
	}
	if write {
		req.Header.Set(RevisionHeader, strconv.FormatUint(revision, 10))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// When one connection went silent, so may have those that are kept for
		// later; new ones work.
		c.http.CloseIdleConnections()
		return answer{}, transportError(key, write, err)
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	limit := int64(MaxValueBytes)
	if path[:len(ListPath)] == ListPath {
		limit = maxListBytes
	}
	a := answer{status: resp.StatusCode}
	if a.body, err = io.ReadAll(io.LimitReader(resp.Body, limit)); err != nil {
		return answer{}, transportError(key, write, err)
	}
	a.revision, _ = strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	return a, nil
}

func transportError(key string, write bool, err error) error {
	var op *net.OpError
	dialled := !errors.As(err, &op) || op.Op != "dial"
	if write && dialled {
		return &UnknownOutcomeError{Key: key, Cause: err}
	}
	return &UnavailableError{Key: key, Cause: err}
}

// failure turns a status into an error.
func (a answer) failure(key string, write bool, expected uint64) error {
	cause := &StatusError{Status: a.status, Body: strings.TrimSpace(string(a.body[:min(len(a.body), maxErrorBytes)]))}
	switch a.status {
	case http.StatusNotFound:
		return &NotFoundError{Key: key}
	case http.StatusConflict:
		return &ConflictError{Key: key, Expected: expected, Actual: a.revision}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest,
		http.StatusRequestEntityTooLarge, http.StatusMethodNotAllowed:
		return &UnavailableError{Key: key, Cause: cause}
	}
	if write {
		return &UnknownOutcomeError{Key: key, Cause: cause}
	}
	return &UnavailableError{Key: key, Cause: cause}
}

func (c *httpClient) get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := c.send(ctx, http.MethodGet, ObjectPath+url.PathEscape(key), key, nil, 0)
	if err != nil {
		return Object{}, err
	}
	if a.status != http.StatusOK {
		return Object{}, a.failure(key, false, 0)
	}
	return Object{Key: key, Value: a.body, Revision: a.revision}, nil
}

func (c *httpClient) put(ctx context.Context, key string, value []byte, revision uint64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, &TooLargeError{Key: key, Bytes: len(value)}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := c.send(ctx, http.MethodPut, ObjectPath+url.PathEscape(key), key, value, revision)
	if err != nil {
		return Object{}, err
	}
	if a.status != http.StatusOK {
		return Object{}, a.failure(key, true, revision)
	}
	return Object{Key: key, Value: value, Revision: a.revision}, nil
}

func (c *httpClient) remove(ctx context.Context, key string, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := c.send(ctx, http.MethodDelete, ObjectPath+url.PathEscape(key), key, nil, revision)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return a.failure(key, true, revision)
	}
	return nil
}

func (c *httpClient) list(ctx context.Context, prefix string) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := c.send(ctx, http.MethodGet, ListPath+"?prefix="+url.QueryEscape(prefix), prefix, nil, 0)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, a.failure(prefix, false, 0)
	}
	var entries []ListEntry
	if err := json.Unmarshal(a.body, &entries); err != nil {
		return nil, &UnavailableError{Key: prefix, Cause: err}
	}
	list := make([]Object, 0, len(entries))
	for _, e := range entries {
		list = append(list, Object{Key: e.Key, Revision: e.Revision})
	}
	return list, nil
}

func (c *httpClient) watch(ctx context.Context, key string, after uint64) (Object, error) {
	path := fmt.Sprintf("%s%s?after=%d", WatchPath, url.PathEscape(key), after)
	for {
		a, err := c.poll(ctx, path, key)
		if ctx.Err() != nil {
			return Object{}, ctx.Err()
		}
		if err != nil {
			return Object{}, err
		}
		if a.status == http.StatusNoContent {
			continue
		}
		if a.status != http.StatusOK {
			return Object{}, a.failure(key, false, 0)
		}
		return Object{Key: key, Value: a.body, Revision: a.revision}, nil
	}
}

func (c *httpClient) poll(ctx context.Context, path, key string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, MaxWatchWait+watchGrace)
	defer cancel()
	return c.send(ctx, http.MethodGet, path, key, nil, 0)
}
