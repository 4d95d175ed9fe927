package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// WatchTimeout is the default maximum duration of a watch.
const WatchTimeout = 30 * time.Second

// Client is a Store over HTTP. Of its fields only Base is required.
type Client struct {
	// Base is the object store's URL without a path, such as http://127.0.0.1:7400.
	Base string
	// HTTP is the client for requests; nil means http.DefaultClient.
	HTTP *http.Client
}

var methods = [...]string{
	Get: http.MethodGet, List: http.MethodGet, Create: http.MethodPut,
	Update: http.MethodPut, Delete: http.MethodDelete, Watch: http.MethodGet,
}

// Do sends the call over HTTP. Transport errors are reported as ErrUnavailable.
func (c *Client) Do(ctx context.Context, call Call) Answer {
	r, err := c.request(ctx, call)
	if err != nil {
		return Answer{Call: call, Err: err}
	}
	hc := c.HTTP
	if hc == nil {
		hc = http.DefaultClient
	}
	res, err := hc.Do(r)
	if err != nil {
		return Answer{Call: call, Err: merry.Wrap(ErrUnavailable, merry.WithCause(err))}
	}
	defer res.Body.Close()
	return parseResponse(call, res)
}

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	u := c.Base + "/objects/" + url.PathEscape(call.Key)
	if call.Op == List {
		u = c.Base + "/objects?prefix=" + url.QueryEscape(call.Key)
	}
	if call.Op == Watch {
		u += "?watch=" + call.WaitTime().String()
	}
	r, err := http.NewRequestWithContext(ctx, methods[call.Op], u, bytes.NewReader(call.Value))
	if err != nil {
		return nil, merry.Prepend(err, "object store request")
	}
	switch call.Op {
	case Create:
		r.Header.Set("If-None-Match", "*")
	case Update, Delete:
		r.Header.Set("If-Match", ETag(call.Version))
	case Watch:
		r.Header.Set("If-None-Match", ETag(call.Version))
	}
	return r, nil
}

func parseResponse(call Call, res *http.Response) Answer {
	a := Answer{Call: call}
	// A longer list is cut off and then fails as ErrUnavailable, since its JSON is
	// incomplete.
	b, err := io.ReadAll(io.LimitReader(res.Body, 64*MaxValueBytes))
	if err != nil {
		a.Err = merry.Wrap(ErrUnavailable, merry.WithCause(err))
		return a
	}
	if a.Err = statusError(call, res.StatusCode); a.Err != nil {
		a.RetryAfter = retryAfter(res)
		return a
	}
	if call.Op == List {
		if err := json.Unmarshal(b, &a.Objects); err != nil {
			a.Err = merry.Wrap(ErrUnavailable, merry.WithCause(err))
		}
		return a
	}
	version, err := ParseETag(res.Header.Get("ETag"))
	if err != nil && call.Op != Delete {
		a.Err = merry.Wrap(ErrUnavailable, merry.WithCause(err))
		return a
	}
	a.Object = Object{Key: call.Key, Version: version, Value: b}
	if call.Op == Create || call.Op == Update {
		a.Object.Value = call.Value
	}
	return a
}

func statusError(call Call, status int) error {
	switch {
	case status < 300:
		return nil
	case status == http.StatusNotModified:
		return ErrNotModified
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed && call.Op == Create:
		return ErrExists
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusTooManyRequests:
		return ErrLimited
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	return merry.Wrap(ErrUnavailable, merry.AppendMessagef("status %d", status))
}

// retryAfter returns the value of a Retry-After header in seconds, or 0 if it is
// absent or not a number.
func retryAfter(res *http.Response) time.Duration {
	n, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// ETag formats a version as an entity tag.
func ETag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}

// ParseETag parses the version from an entity tag.
func ParseETag(tag string) (uint64, error) {
	s, err := strconv.Unquote(tag)
	if err != nil {
		return 0, merry.Prependf(err, "entity tag %q", tag)
	}
	return strconv.ParseUint(s, 10, 64)
}
