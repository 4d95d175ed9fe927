// Package caller implements HTTP/1.1 between callers and entry hosts: the server
// side of a host and a client for callers.
package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/refusal"
	"github.com/cornelbay/cornelbay/request"
	"github.com/cornelbay/cornelbay/target"
	"github.com/cornelbay/cornelbay/ticket"
)

// DefaultTimeLimit is the time limit of a request without request.DeadlineHeader.
const DefaultTimeLimit = 2 * time.Second

// MaxTimeLimit is the maximum time limit that a caller may request.
const MaxTimeLimit = time.Minute

// TicketsPath is the path for fetching tickets, with ?service=NAME&count=N.
const TicketsPath = "/tickets"

// NewServer returns a handler for requests under /services/NAME/ and for requests
// for tickets. do is called with a request.Request and returns a
// request.Response.
func NewServer(do endpoint.Endpoint) http.Handler {
	return kithttp.NewServer(do, decode, encode,
		kithttp.ServerBefore(withTicketed), kithttp.ServerErrorEncoder(encodeError))
}

func decode(_ context.Context, r *http.Request) (any, error) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return nil, merry.Prepend(err, "remote address")
	}
	req := request.Request{Caller: host, Method: r.Method, Header: r.Header, Deadline: deadline(r.Header)}
	if r.URL.Path == TicketsPath {
		return decodeTickets(r, req)
	}
	name, path, ok := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/services/"), "/")
	if !ok || name == "" || !strings.HasPrefix(r.URL.Path, "/services/") {
		return nil, merry.New("path must be /services/NAME/...", merry.WithHTTPCode(http.StatusNotFound))
	}
	req.Service, req.Path = cornelbay.ServiceName(name), "/"+path
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	if req.Body, err = readBody(r); err != nil {
		return nil, err
	}
	req.Ticket = r.Header.Get(request.TicketHeader)
	req.Header = r.Header.Clone()
	target.StripHopByHop(req.Header)
	return req, nil
}

func decodeTickets(r *http.Request, req request.Request) (any, error) {
	q := r.URL.Query()
	n, err := strconv.Atoi(q.Get("count"))
	if q.Get("count") == "" {
		n, err = 1, nil
	}
	if err != nil || n < 1 || n > ticket.MaxBatch || r.Method != http.MethodGet {
		return nil, merry.Errorf("GET with count from 1 to %d", ticket.MaxBatch, merry.WithHTTPCode(http.StatusBadRequest))
	}
	req.Service, req.Tickets, req.Header = cornelbay.ServiceName(q.Get("service")), n, nil
	return req, nil
}

func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, request.MaxBodyBytes+1))
	if err != nil {
		return nil, merry.Prepend(err, "body", merry.WithHTTPCode(http.StatusBadRequest))
	}
	if len(body) > request.MaxBodyBytes {
		return nil, merry.Errorf("body is over the limit of %d bytes", request.MaxBodyBytes,
			merry.WithHTTPCode(http.StatusRequestEntityTooLarge))
	}
	return body, nil
}

// encodeError responds to a request that could not be decoded or whose caller left.
// The outcome is notRun only for a client error without a ticket: with a ticket,
// an earlier copy of the request may have run.
func encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	outcome := cornelbay.Unknown
	code := merry.HTTPCode(err)
	if ticketed, _ := ctx.Value(ticketedKey{}).(bool); code < http.StatusInternalServerError && !ticketed {
		outcome = cornelbay.NotRun
	}
	w.Header().Set(cornelbay.OutcomeHeader, outcome.String())
	http.Error(w, err.Error(), code)
}

type ticketedKey struct{}

// withTicketed stores in the context, for encodeError, whether the request has a
// ticket.
func withTicketed(ctx context.Context, r *http.Request) context.Context {
	return context.WithValue(ctx, ticketedKey{}, r.Header.Get(request.TicketHeader) != "")
}

func deadline(h http.Header) time.Time {
	d := DefaultTimeLimit
	if ms, err := strconv.Atoi(h.Get(request.DeadlineHeader)); err == nil && ms > 0 {
		d = min(MaxTimeLimit, time.Duration(ms)*time.Millisecond)
	}
	return time.Now().Add(d)
}

func encode(_ context.Context, w http.ResponseWriter, v any) error {
	r := v.(request.Response)
	for k, vs := range r.Header {
		w.Header()[k] = vs
	}
	// Only the host sets the outcome and the reason; such headers of a target's
	// response are overwritten or removed.
	if r.Reason == refusal.None {
		w.Header().Del(request.ReasonHeader)
	}
	w.Header().Set(cornelbay.OutcomeHeader, r.Outcome.String())
	if r.RetryAfter > 0 {
		s := int((r.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(s))
		w.Header().Set(request.RetryAfterHeader, strconv.FormatInt(max(1, r.RetryAfter.Milliseconds()), 10))
	}
	if w.Header().Get("Content-Length") == "" || len(r.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(r.Status)
	_, err := w.Write(r.Body)
	return err
}
