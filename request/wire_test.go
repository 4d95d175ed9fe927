package request

import (
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/refusal"
	"github.com/cornelbay/cornelbay/ticket"
)

// TestMessagesRoundTripThroughCBOR guards against fields that are lost or changed
// by the encoding that package peer uses between hosts.
func TestMessagesRoundTripThroughCBOR(t *testing.T) {
	res := Response{
		Status: 503, Header: http.Header{"A": {"b", "c"}}, Body: []byte{0, 1}, Outcome: cornelbay.NotRun,
		RetryAfter: 3 * time.Millisecond, Reason: refusal.QueueFull,
	}
	tests := []any{
		RelayArgs{ID: 1, Incarnation: 2, Wait: 3 * time.Millisecond, Request: Request{
			ID: 4, Service: "s", Caller: "c", Method: http.MethodPost, Path: "/x?y=z",
			Header: http.Header{"A": {"b"}}, Body: []byte("body"), Ticket: "t", Tickets: 5,
		}},
		RelayReply{Taken: true, Ended: true, Response: res},
		ResultArgs{ID: 1, Incarnation: 2, Response: res},
		WithdrawArgs{ID: 1, Incarnation: 2},
		HandOverArgs{Handover: ticket.Handover[Response]{
			Host: "a", Incarnation: 1, First: 1, Last: 9, UntilMs: 7,
			Records: []ticket.Record[Response]{{Number: 3, Digest: ticket.Digest{1, 2}, ExpiryMs: 8, Settled: true, Kept: true, Answer: res}},
		}},
		LoadReport{Loads: []TargetLoad{{Target: 1 << 31, Count: 2}}},
	}
	for _, want := range tests {
		is := is.New(t)
		b, err := cbor.Marshal(want)
		is.NoErr(err)
		got := reflect.New(reflect.TypeOf(want))
		is.NoErr(cbor.Unmarshal(b, got.Interface()))
		is.True(reflect.DeepEqual(got.Elem().Interface(), want))
	}
}
