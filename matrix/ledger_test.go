package matrix

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
)

var testFlow = cornelbay.FlowKey{
	Source: netip.MustParseAddrPort("203.0.113.1:1000"), Destination: netip.MustParseAddrPort("192.0.2.10:443"),
	Protocol: 6,
}

// TestLedgerSeesBrokenPromises breaks each promise that the ledger judges by
// itself, and does the same allowed thing beside it.
func TestLedgerSeesBrokenPromises(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   func(l *Ledger)
		want []Promise
	}{
		{"flow keeps its target", func(l *Ledger) {
			l.Opened(testFlow, "statut")
			l.Delivered(testFlow, "statut-1", "statut", "host-1")
			l.Delivered(testFlow, "statut-1", "statut", "host-1")
		}, nil},
		{"flow moves", func(l *Ledger) {
			l.Opened(testFlow, "statut")
			l.Delivered(testFlow, "statut-1", "statut", "host-1")
			l.Delivered(testFlow, "statut-2", "statut", "host-1")
		}, []Promise{FlowsSurvive}},
		{"flow of a dead target moves", func(l *Ledger) {
			l.Opened(testFlow, "statut")
			l.Delivered(testFlow, "statut-1", "statut", "host-1")
			l.Excuse("statut-1")
			l.Delivered(testFlow, "statut-2", "statut", "host-1")
		}, nil},
		{"packet reaches another service", func(l *Ledger) {
			l.Opened(testFlow, "statut")
			l.Delivered(testFlow, "carto-1", "carto", "host-1")
		}, []Promise{RightService}},
		{"lookup runs twice", func(l *Ledger) {
			l.Asked("a", true)
			l.Ran("a", "statut-1")
			l.Ran("a", "statut-2")
		}, nil},
		{"report runs twice", func(l *Ledger) {
			l.Asked("a", false)
			l.Ran("a", "statut-1")
			l.Ran("a", "statut-2")
		}, []Promise{AtMostOnce}},
		{"refusal after a run", func(l *Ledger) {
			l.Asked("a", false)
			l.Ran("a", "statut-1")
			l.Told("a", cornelbay.NotRun, "", "")
		}, []Promise{TrueRefusal}},
		{"run after a refusal", func(l *Ledger) {
			l.Asked("a", false)
			l.Told("a", cornelbay.NotRun, "", "")
			l.Ran("a", "statut-1")
		}, []Promise{TrueRefusal}},
		{"unknown after a run", func(l *Ledger) {
			l.Asked("a", false)
			l.Ran("a", "statut-1")
			l.Told("a", cornelbay.Unknown, "", "")
		}, nil},
		{"answer of another", func(l *Ledger) {
			l.Asked("a", true)
			l.Told("a", cornelbay.Answered, "b", "a")
		}, []Promise{WholeOwnAnswer}},
		{"generation goes back", func(l *Ledger) {
			l.InForce(cornelbay.Host{Name: "h", Incarnation: 1}, 2)
			l.InForce(cornelbay.Host{Name: "h", Incarnation: 1}, 1)
		}, []Promise{ChangeInForce}},
		{"fresh start has nothing", func(l *Ledger) {
			l.InForce(cornelbay.Host{Name: "h", Incarnation: 1}, 2)
			l.InForce(cornelbay.Host{Name: "h", Incarnation: 2}, 0)
		}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := Ledger{Now: func() time.Time { return time.Time{} }}
			tt.do(&l)
			var got []Promise
			for _, v := range l.Violations {
				got = append(got, v.Promise)
			}
			is.Equal(got, tt.want)
		})
	}
}
