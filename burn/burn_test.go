package burn_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/burn"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	level  = cornelbay.ServiceLevel{Objective: 0.99, LatencyMs: 50, WindowHours: 720}
	levels = map[cornelbay.ServiceName]cornelbay.ServiceLevel{"statut": level}
)

// fill adds 100 requests per minute, of which bad are bad in each of the last
// badMinutes, and returns the time of the last ones.
func fill(r *burn.History, minutes, badMinutes, bad int) time.Time {
	now := start
	for m := range minutes {
		now = start.Add(time.Duration(m) * time.Minute)
		for i := range 100 {
			r.Add(now, "statut", m < minutes-badMinutes || i >= bad)
		}
	}
	return now
}

func TestRatesAndAlerts(t *testing.T) {
	for _, c := range []struct {
		name                                   string
		minutes, badMinutes, bad, minutesLater int
		rate5m, rate1h                         float64
		alerts                                 string
	}{
		{"all good", 120, 0, 0, 0, 0, 0, ""},
		{"short burst", 120, 5, 20, 0, 20, 20. * 5 / 60, ""},
		{"long burst", 120, 60, 20, 0, 20, 20, "page page ticket"},
		{"long burst, over", 120, 60, 20, 31, 0, 20, "ticket"},
		{"slow burn", 720, 720, 2, 0, 2, 2, "ticket"},
		{"exactly the budget", 720, 720, 1, 0, 1, 1, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var r burn.History
			now := fill(&r, c.minutes, c.badMinutes, c.bad).Add(time.Duration(c.minutesLater) * time.Minute)
			got := burn.NewReport([]burn.Counts{r.Counts(now, levels)}).Services[0]
			is.True(near(got.Rates[0].Rate, c.rate5m))
			is.True(near(got.Rates[2].Rate, c.rate1h))
			var names []string
			for _, a := range got.Alerts {
				names = append(names, a.Name)
			}
			is.Equal(strings.Join(names, " "), c.alerts)
		})
	}
}

func near(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }

func TestHostsAreSummed(t *testing.T) {
	is := is.New(t)
	var a, b burn.History
	now := fill(&a, 10, 0, 0)
	fill(&b, 10, 10, 2)
	s := burn.NewReport([]burn.Counts{a.Counts(now, levels), b.Counts(now, levels)}).Services[0]
	is.Equal(s.Total, uint64(2000))
	is.Equal(s.Good, uint64(1980))
	is.True(near(s.Remaining, 0)) // 1 % bad requests use up the budget
	is.True(near(s.CoveredHours, 10./60))
}

func TestHistoryDropsOldMinutes(t *testing.T) {
	is := is.New(t)
	var r burn.History
	now := fill(&r, burn.HistoryMinutes+10, 0, 0)
	is.Equal(len(r.Counts(now, levels).Services[0].Minutes), burn.HistoryMinutes)
	is.Equal(len(r.Counts(now.Add(burn.HistoryMinutes*time.Minute), levels).Services[0].Minutes), 0)
}

func TestReportFromHosts(t *testing.T) {
	is := is.New(t)
	var history burn.History
	now := fill(&history, 90, 30, 30)
	m := http.NewServeMux()
	m.HandleFunc("GET /burn", func(w http.ResponseWriter, _ *http.Request) {
		is.NoErr(json.NewEncoder(w).Encode(history.Counts(now, levels)))
	})
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte("# TYPE " + burn.TotalMetric + " counter\n" + burn.TotalMetric + `{service="statut"} 9000` + "\n"))
		is.NoErr(err)
	})
	s := httptest.NewServer(m)
	defer s.Close()
	r := burn.Read(t.Context(), s.Client(), []string{s.URL, s.URL + "/missing"})
	is.Equal(r.SinceStart["statut"], uint64(9000))
	is.Equal(len(r.Unread), 1)
	var table bytes.Buffer
	is.NoErr(r.WriteTable(&table))
	is.True(strings.Contains(table.String(), "page (1h and 5m over 14.4)"))
	is.True(strings.Contains(table.String(), "not read: "+s.URL+"/missing"))
	file := filepath.Join(t.TempDir(), "burn.svg")
	is.NoErr(r.Plot(file))
	b, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(bytes.Contains(b, []byte("<svg")))
}
