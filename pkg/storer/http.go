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

	"gentianbarrow.example/internal/validator"
)

// Paths, headers and times of the object API over HTTP.
const (
	// ObjectPath is followed by the key.
	ObjectPath = "/v1/objects/"
	// WatchPath is followed by the key.
	WatchPath = "/v1/watch/"
	// ListPath takes the query parameter "prefix".
	ListPath = "/v1/list"
	// RevisionHeader carries the object's revision in answers, and the expected one in writes.
	RevisionHeader = "X-Object-Revision"
	// MaxWatchWait is how long the server holds a watch before it answers with
	// status 204, No Content, and the client asks again. The client gives up
	// watches on silent connections a little later.
	MaxWatchWait = 20 * time.Second
)

const (
	// callTimeout bounds each call except watches.
	callTimeout = 3 * time.Second
	dialTimeout = 1 * time.Second
	// watchTimeoutMargin is how long after MaxWatchWait the client gives up a watch.
	watchTimeoutMargin = 5 * time.Second
	idleTimeout        = 30 * time.Second
	maxIdleConns       = 8
	// maxErrorBytes bounds how much of an error's body is quoted.
	maxErrorBytes = 4 << 10
	// maxListBytes bounds the answer to a list. Other answers are bounded by MaxValueBytes.
	maxListBytes = 16 << 20
)

// StatusError is the cause of an *UnavailableError or an *UnknownOutcomeError
// when the platform answered with an error status. Source: the platform.
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

// Option configures an HTTP client.
type Option func(*httpClient)

// WithTransport replaces the HTTP transport.
func WithTransport(rt http.RoundTripper) Option {
	return func(c *httpClient) { c.http.Transport = rt }
}

type httpClient struct {
	base string
	http http.Client
}

// NewHTTPClient returns a client of the object API at a URL such as
// "http://127.0.0.1:7000". Its Scan and Follow are nil.
func NewHTTPClient(baseURL string, opts ...Option) Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &httpClient{
		base: baseURL,
		http: http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout,
		}},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.http.Transport = &validator.Transport{Base: c.http.Transport}
	return Client{Get: c.get, Put: c.put, Delete: c.remove, List: c.list, Watch: c.watch}
}

// response is an HTTP response whose body has been read.
type response struct {
	status   int
	revision uint64
	body     []byte
}

// send makes one HTTP request. It returns *UnavailableError when the request
// cannot have taken effect, and *UnknownOutcomeError when it may have.
func (c *httpClient) send(ctx context.Context, method, path, key string, body []byte, revision uint64) (response, error) {
	isWrite := method != http.MethodGet
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, &UnavailableError{Key: key, Cause: err}
	}
	if isWrite {
		req.Header.Set(RevisionHeader, strconv.FormatUint(revision, 10))
	}
	httpResp, err := c.http.Do(req)
	if err != nil {
		// When one connection has gone silent, the idle ones may have too; new
		// connections work.
		c.http.CloseIdleConnections()
		return response{}, transportError(key, isWrite, err)
	}
	defer httpResp.Body.Close() //nolint:errcheck // the body has been read
	limit := int64(MaxValueBytes)
	if path[:len(ListPath)] == ListPath {
		limit = maxListBytes
	}
	resp := response{status: httpResp.StatusCode}
	resp.body, err = io.ReadAll(io.LimitReader(httpResp.Body, limit+1))
	if err == nil && int64(len(resp.body)) > limit {
		err = &LongAnswerError{Max: limit}
	}
	if err != nil {
		return response{}, transportError(key, isWrite, err)
	}
	resp.revision, _ = strconv.ParseUint(httpResp.Header.Get(RevisionHeader), 10, 64)
	return resp, nil
}

// transportError returns the error of a request without a response. Only when
// the connection could not be made was the request certainly not sent.
func transportError(key string, isWrite bool, err error) error {
	var op *net.OpError
	maybeSent := !errors.As(err, &op) || op.Op != "dial"
	if isWrite && maybeSent {
		return &UnknownOutcomeError{Key: key, Cause: err}
	}
	return &UnavailableError{Key: key, Cause: err}
}

// toError returns the error of a response whose status is not 200. expected is
// the revision that the request expected.
func (r response) toError(key string, isWrite bool, expected uint64) error {
	cause := &StatusError{Status: r.status, Body: strings.TrimSpace(string(r.body[:min(len(r.body), maxErrorBytes)]))}
	switch r.status {
	case http.StatusNotFound:
		return &NotFoundError{Key: key}
	case http.StatusConflict:
		return &ConflictError{Key: key, Expected: expected, Actual: r.revision}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest,
		http.StatusRequestEntityTooLarge, http.StatusMethodNotAllowed:
		return &UnavailableError{Key: key, Cause: cause}
	}
	if isWrite {
		return &UnknownOutcomeError{Key: key, Cause: cause}
	}
	return &UnavailableError{Key: key, Cause: cause}
}

func (c *httpClient) get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.send(ctx, http.MethodGet, ObjectPath+url.PathEscape(key), key, nil, 0)
	if err != nil {
		return Object{}, err
	}
	if resp.status != http.StatusOK {
		return Object{}, resp.toError(key, false, 0)
	}
	return Object{Key: key, Value: resp.body, Revision: resp.revision}, nil
}

func (c *httpClient) put(ctx context.Context, key string, value []byte, revision uint64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, &TooLargeError{Key: key, Bytes: len(value)}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.send(ctx, http.MethodPut, ObjectPath+url.PathEscape(key), key, value, revision)
	if err != nil {
		return Object{}, err
	}
	if resp.status != http.StatusOK {
		return Object{}, resp.toError(key, true, revision)
	}
	return Object{Key: key, Value: value, Revision: resp.revision}, nil
}

func (c *httpClient) remove(ctx context.Context, key string, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.send(ctx, http.MethodDelete, ObjectPath+url.PathEscape(key), key, nil, revision)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return resp.toError(key, true, revision)
	}
	return nil
}

func (c *httpClient) list(ctx context.Context, prefix string) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.send(ctx, http.MethodGet, ListPath+"?prefix="+url.QueryEscape(prefix), prefix, nil, 0)
	if err != nil {
		return nil, err
	}
	if resp.status != http.StatusOK {
		return nil, resp.toError(prefix, false, 0)
	}
	var entries []ListEntry
	if err := json.Unmarshal(resp.body, &entries); err != nil {
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
		resp, err := c.poll(ctx, path, key)
		if ctx.Err() != nil {
			return Object{}, ctx.Err()
		}
		if err != nil {
			return Object{}, err
		}
		if resp.status == http.StatusNoContent {
			continue
		}
		if resp.status != http.StatusOK {
			return Object{}, resp.toError(key, false, 0)
		}
		return Object{Key: key, Value: resp.body, Revision: resp.revision}, nil
	}
}

// poll sends one request of a watch.
func (c *httpClient) poll(ctx context.Context, path, key string) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, MaxWatchWait+watchTimeoutMargin)
	defer cancel()
	return c.send(ctx, http.MethodGet, path, key, nil, 0)
}
