package burn

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/cornelbay/cornelbay"
)

// TotalMetric is the metric that counts the requests to services with a service
// level.
const TotalMetric = "cornelbay_level_requests_total"

const serviceLabel = "service"

// Read fetches the counts of hosts, given by the base URLs of their admin servers,
// and returns the report over them. Hosts that fail to respond are listed in
// Report.Unread.
func Read(ctx context.Context, c *http.Client, hosts []string) *Report {
	var counts []Counts
	var unread []string
	totals := make(map[cornelbay.ServiceName]uint64)
	for _, h := range hosts {
		n, err := readHost(ctx, c, h, totals)
		if err != nil {
			unread = append(unread, h+": "+err.Error())
			continue
		}
		counts = append(counts, n)
	}
	r := NewReport(counts)
	r.SinceStart, r.Unread = totals, unread
	return r
}

func readHost(ctx context.Context, c *http.Client, host string, totals map[cornelbay.ServiceName]uint64) (Counts, error) {
	var n Counts
	res, err := get(ctx, c, host+"/burn")
	if err != nil {
		return n, err
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&n); err != nil {
		return n, merry.Prepend(err, "counts")
	}
	return n, readMetrics(ctx, c, host, totals)
}

func readMetrics(ctx context.Context, c *http.Client, host string, totals map[cornelbay.ServiceName]uint64) error {
	res, err := get(ctx, c, host+"/metrics")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(res.Body)
	if err != nil {
		return merry.Prepend(err, "metrics")
	}
	for _, m := range families[TotalMetric].GetMetric() {
		for _, l := range m.GetLabel() {
			if l.GetName() == serviceLabel {
				totals[cornelbay.ServiceName(l.GetValue())] += uint64(m.GetCounter().GetValue())
			}
		}
	}
	return nil
}

func get(ctx context.Context, c *http.Client, url string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := c.Do(r)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close() // the status is the error to report
		return nil, merry.Errorf("status %d", res.StatusCode)
	}
	return res, nil
}
