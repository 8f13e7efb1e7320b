// Package platform is the client of the platform's object API and of its
// eventually consistent list of instances (docs/design.md section 4.3).
package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"goldcrestshore/core/connection/httpservice"
	"goldcrestshore/core/process/clock"
)

// Errors of a call, for use with errors.Is.
var (
	ErrNotFound = errors.New("object does not exist")
	ErrConflict = errors.New("object has another version")
	ErrTooLarge = errors.New("value exceeds the platform's limit")
	// ErrUnavailable means that the outcome is unknown: a write may have taken
	// effect, and the caller must read the object back.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrUnexpectedResponse means that a response violates the platform's API.
	ErrUnexpectedResponse = errors.New("platform sent an unexpected response")
)

// ConflictError is an ErrConflict with the object's current version.
type ConflictError struct {
	current uint64
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: current version is %d", ErrConflict, e.current)
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Current returns the object's current version, 0 when it does not exist.
func (e *ConflictError) Current() uint64 { return e.current }

// Kinds of objects.
const (
	KindConfiguration = "configuration"
	KindDrainFlag     = "out"
	KindDuty          = "duty"
	KindClaim         = "claim"
	KindStatus        = "status"
	KindBurn          = "burn"
)

// NameRoot is the name of the operators' configuration under KindConfiguration.
const NameRoot = "root"

const (
	// DefaultTimeout bounds a call. The platform responds in milliseconds, and a
	// configuration change must take effect within 3 s.
	DefaultTimeout = 2 * clock.Second
	// maxResponseBytes bounds a response. A list of 6,350 instances of about 200
	// bytes, or of several values of 1 MB in base64, is far smaller.
	maxResponseBytes = 64 << 20
	// maxIdleConnections allows for the duties that make calls at the same time.
	maxIdleConnections = 4
)

const serviceName = "goldcrest-platform"

// Client calls one platform. It is safe for concurrent use.
type Client struct {
	// Timeout bounds each call except Watch, which takes its own. Set before use.
	Timeout clock.Millis

	baseURL     string
	httpService httpc.Service
	reads       atomic.Int64
	writes      atomic.Int64
	watches     atomic.Int64
}

// New returns a client of the platform at an address such as 127.0.0.1:8000 or
// a base URL.
func New(address string) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{
		Timeout:     DefaultTimeout,
		baseURL:     strings.TrimSuffix(address, "/"),
		httpService: httpservice.New(serviceName, &http.Client{}, &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}),
	}
}

// Calls holds the numbers of calls that a client has made.
type Calls struct {
	reads   int64
	writes  int64
	watches int64
}

// Reads returns the number of calls of Get, List and Instances.
func (c Calls) Reads() int64 { return c.reads }

// Writes returns the number of calls that change an object or an instance.
func (c Calls) Writes() int64 { return c.writes }

// Watches returns the number of calls of Watch.
func (c Calls) Watches() int64 { return c.watches }

// Calls returns the numbers of calls made so far.
func (c *Client) Calls() Calls {
	return Calls{c.reads.Load(), c.writes.Load(), c.watches.Load()}
}

// Object is one versioned value.
type Object struct {
	name    string
	version uint64
	value   []byte
	deleted bool
}

// NewObject returns an object, for fakes and for relays that forward one.
func NewObject(name string, version uint64, value []byte) Object {
	return Object{name: name, version: version, value: value}
}

// Name returns the name within the kind.
func (o Object) Name() string { return o.name }

// Version returns the version that the write of the value was given.
func (o Object) Version() uint64 { return o.version }

// Value returns the value; callers must not change it.
func (o Object) Value() []byte { return o.value }

// Deleted reports whether a watch returned the object because it was deleted.
func (o Object) Deleted() bool { return o.deleted }

// Listing holds the objects of a kind, or those that changed, up to a version.
type Listing struct {
	objects []Object
	version uint64
}

// NewListing returns a listing for fakes.
func NewListing(objects []Object, version uint64) Listing { return Listing{objects, version} }

// Objects returns the objects; callers must not change the slice.
func (l Listing) Objects() []Object { return l.objects }

// Version returns the store's version that the listing reflects.
func (l Listing) Version() uint64 { return l.version }

// Get returns one object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	c.reads.Add(1)
	resp, err := c.call(ctx, http.MethodGet, objectPath(kind, name), nil, nil)
	if err != nil {
		return Object{}, err
	}
	version, err := resp.version()
	if err != nil {
		return Object{}, err
	}
	return Object{name: name, version: version, value: resp.body}, nil
}

// Update replaces a value if the object still has the given version, and returns
// the new version.
func (c *Client) Update(ctx context.Context, kind, name string, version uint64, value []byte) (uint64, error) {
	return c.put(ctx, kind, name, value, http.Header{"If-Match": {etag(version)}})
}

// Create writes a value if the object does not exist, and returns its version.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (uint64, error) {
	return c.put(ctx, kind, name, value, http.Header{"If-None-Match": {"*"}})
}

// Put writes a value unconditionally and returns its version. It is for reports
// that only one process writes.
func (c *Client) Put(ctx context.Context, kind, name string, value []byte) (uint64, error) {
	return c.put(ctx, kind, name, value, nil)
}

func (c *Client) put(ctx context.Context, kind, name string, value []byte, header http.Header) (uint64, error) {
	c.writes.Add(1)
	resp, err := c.call(ctx, http.MethodPut, objectPath(kind, name), header, value)
	if err != nil {
		return 0, err
	}
	return resp.version()
}

// Delete removes an object if it still has the given version; version 0 removes it
// unconditionally.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	c.writes.Add(1)
	header := http.Header{}
	if version != 0 {
		header.Set("If-Match", etag(version))
	}
	_, err := c.call(ctx, http.MethodDelete, objectPath(kind, name), header, nil)
	return err
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// response is an HTTP response with its whole body.
type response struct {
	status int
	header http.Header
	body   []byte
}

// version returns the version in the ETag.
func (r *response) version() (uint64, error) {
	v, err := strconv.ParseUint(strings.Trim(r.header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return 0, errors.Wrapf(ErrUnexpectedResponse, "ETag %q", r.header.Get("ETag"))
	}
	return v, nil
}

// call makes one call within the client's timeout.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte) (*response, error) {
	return c.callWithTimeout(ctx, c.Timeout, method, path, header, body)
}

func (c *Client) callWithTimeout(ctx context.Context, timeout clock.Millis, method, path string, header http.Header, body []byte) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	resp, err := c.roundTrip(ctx, method, path, header, body)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w: %w", method, path, ErrUnavailable, err)
	}
	return resp, errors.Wrapf(resp.statusError(), "%s %s", method, path)
}

func (c *Client) roundTrip(ctx context.Context, method, path string, header http.Header, body []byte) (*response, error) {
	var requestBody io.Reader
	if body != nil {
		requestBody = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, requestBody)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.httpService.DoRequest(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	return &response{resp.StatusCode, resp.Header, responseBody}, nil
}

// statusError returns the error for the response's status, nil for a success.
func (r *response) statusError() error {
	switch {
	case r.status >= 200 && r.status < 300:
		return nil
	case r.status == http.StatusNotFound:
		return ErrNotFound
	case r.status == http.StatusPreconditionFailed:
		current, _ := r.version() // no ETag when the object does not exist
		return &ConflictError{current}
	case r.status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case r.status >= 500 || r.status == http.StatusTooManyRequests:
		return errors.Wrapf(ErrUnavailable, "status %d", r.status)
	}
	return errors.Wrapf(ErrUnexpectedResponse, "status %d", r.status)
}
