package burn

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report as a human-readable table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := "SERVICE\tOBJECTIVE\tGOOD\tTOTAL\tBUDGET LEFT\tCOVERED"
	for _, window := range Windows {
		header += "\tBURN " + formatWindow(window)
	}
	if _, err := fmt.Fprintln(t, header+"\tALERTS"); err != nil {
		return err
	}
	for _, s := range r.Services {
		line := fmt.Sprintf("%s\t%g%% under %d ms\t%d\t%d\t%.1f%%\t%.1f of %d h", s.Service, 100*s.Level.Objective,
			s.Level.LatencyMs, s.Good, s.Total, 100*s.Remaining, s.CoveredHours, s.Level.WindowHours)
		for _, rate := range s.Rates {
			line += fmt.Sprintf("\t%.2f", rate.Rate)
		}
		if _, err := fmt.Fprintln(t, line+"\t"+formatAlerts(s.Alerts)); err != nil {
			return err
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, u := range r.Unread {
		if _, err := fmt.Fprintln(w, "not read: "+u); err != nil {
			return err
		}
	}
	return nil
}

func formatAlerts(as []Alert) string {
	if len(as) == 0 {
		return "none"
	}
	out := ""
	for i, a := range as {
		if i > 0 {
			out += ", "
		}
		out += fmt.Sprintf("%s (%s and %s over %.3g)", a.Name, a.Long, a.Short, a.Threshold)
	}
	return out
}
