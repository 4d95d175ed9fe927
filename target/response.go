package target

import (
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Complete reports whether body is the complete body of a response. The body must
// match its Content-Length or be chunked, and must match the SHA-2 digests in
// Content-Digest (RFC 9530), if present.
func Complete(res *http.Response, body []byte) bool {
	if res.Request.Method == http.MethodHead || res.StatusCode == http.StatusNotModified ||
		res.StatusCode == http.StatusNoContent {
		return true
	}
	// A body that is delimited only by the end of the connection may have been
	// truncated.
	if res.ContentLength < 0 && !slices.Contains(res.TransferEncoding, "chunked") {
		return false
	}
	if res.ContentLength >= 0 && int64(len(body)) != res.ContentLength {
		return false
	}
	return digestMatches(res.Header, body)
}

// DialFailed reports whether an error proves that no connection was established.
func DialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func digestMatches(h http.Header, body []byte) bool {
	for _, line := range h.Values("Content-Digest") {
		for _, member := range strings.Split(line, ",") {
			if !memberMatches(strings.TrimSpace(member), body) {
				return false
			}
		}
	}
	return true
}

// memberMatches checks one member such as sha-256=:BASE64:. Members with other
// algorithms are accepted unchecked.
func memberMatches(member string, body []byte) bool {
	name, value, _ := strings.Cut(member, "=")
	var sum []byte
	switch name {
	case "sha-256":
		s := sha256.Sum256(body)
		sum = s[:]
	case "sha-512":
		s := sha512.Sum512(body)
		sum = s[:]
	default:
		return true
	}
	return value == ":"+base64.StdEncoding.EncodeToString(sum)+":"
}

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop deletes the hop-by-hop headers (RFC 9110, section 7.6.1).
func StripHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// RetryAfter returns the value of a Retry-After header given in seconds, or 0.
func RetryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}
