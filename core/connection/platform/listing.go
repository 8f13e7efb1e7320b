package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"goldcrestshore/core/process/clock"
)

// watchTimeoutMargin is added to the timeout that a watch requests, so that the
// platform's 204 arrives before the client times out.
const watchTimeoutMargin = 500 * clock.Millis(1)

// listingBody is the JSON of the responses to List and Watch; values are in base64.
type listingBody struct {
	Items   []itemBody `json:"items"`
	Version uint64     `json:"version"`
}

type itemBody struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted"`
}

// List returns the objects of a kind whose names begin with prefix.
func (c *Client) List(ctx context.Context, kind, prefix string) (Listing, error) {
	c.reads.Add(1)
	path := "/objects/" + url.PathEscape(kind)
	if prefix != "" {
		path += "?prefix=" + url.QueryEscape(prefix)
	}
	resp, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return Listing{}, err
	}
	return resp.listing()
}

// Watch waits until objects of a kind change after a version, and returns the
// changed ones. After timeout it returns an empty listing of the same version. If
// there is no response, its error wraps context.DeadlineExceeded.
func (c *Client) Watch(ctx context.Context, kind string, after uint64, timeout clock.Millis) (Listing, error) {
	c.watches.Add(1)
	query := url.Values{
		"after":     {strconv.FormatUint(after, 10)},
		"timeoutMs": {strconv.FormatInt(int64(timeout), 10)},
	}
	path := "/watch/" + url.PathEscape(kind) + "?" + query.Encode()
	resp, err := c.callWithTimeout(ctx, timeout+watchTimeoutMargin, http.MethodGet, path, nil, nil)
	if err != nil {
		return Listing{}, err
	}
	if resp.status == http.StatusNoContent {
		return Listing{version: after}, nil
	}
	return resp.listing()
}

func (r *response) listing() (Listing, error) {
	var body listingBody
	if err := json.Unmarshal(r.body, &body); err != nil {
		return Listing{}, fmt.Errorf("decode listing: %w: %w", ErrUnexpectedResponse, err)
	}
	l := Listing{version: body.Version, objects: make([]Object, len(body.Items))}
	for i, item := range body.Items {
		l.objects[i] = Object{item.Name, item.Version, item.Value, item.Deleted}
	}
	return l, nil
}
