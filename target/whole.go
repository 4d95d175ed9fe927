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

// Complete reports whether a body is the whole body of an answer: its length was
// given or its chunks were ended, and the SHA-2 digests of Content-Digest
// (RFC 9530), where given, match.
func Complete(res *http.Response, body []byte) bool {
	if res.Request.Method == http.MethodHead || res.StatusCode == http.StatusNotModified ||
		res.StatusCode == http.StatusNoContent {
		return true
	}
	// A body that only the end of the connection ends may have been cut.
	if res.ContentLength < 0 && !slices.Contains(res.TransferEncoding, "chunked") {
		return false
	}
	if res.ContentLength >= 0 && int64(len(body)) != res.ContentLength {
		return false
	}
	return digestMatches(res.Header, body)
}

// DialFailed reports whether an error proves that no connection was made.
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

// memberMatches checks one member such as sha-256=:BASE64:; other algorithms pass.
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

// StripHopByHop deletes the headers that concern one connection only.
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

// RetryAfter returns the Retry-After header in seconds form, or 0.
func RetryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}
