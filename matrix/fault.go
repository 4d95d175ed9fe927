package matrix

import (
	"time"

	"github.com/cornelbay/cornelbay"
)

// Fault is something that fails. Strike starts it at the step of a procedure;
// actor is the host that took the step.
type Fault struct {
	Name   string
	Strike func(w *World, actor cornelbay.HostName)
}

// The lengths of faults that end by themselves.
const (
	PauseLength  = 5 * time.Second
	OutageLength = 8 * time.Second
	CutLength    = 8 * time.Second
	UnevenLength = 2 * time.Second
	ColdLength   = 6 * time.Second
)

// Faults lists every fault that the users name.
var Faults = []Fault{
	{"hostDies", func(w *World, actor cornelbay.HostName) { w.Kill(actor) }},
	{"hostJoins", func(w *World, _ cornelbay.HostName) { w.Join() }},
	{"targetDrains", func(w *World, _ cornelbay.HostName) { w.DrainSpare() }},
	{"updateUneven", func(w *World, actor cornelbay.HostName) { w.Deafen(actor, UnevenLength) }},
	{"targetTurnsCold", func(w *World, _ cornelbay.HostName) { w.TurnCold(ColdLength) }},
	{"storeDown", func(w *World, _ cornelbay.HostName) {
		w.Store.Down = true
		w.After(OutageLength, func() { w.Store.Down = false })
	}},
	{"storeSlow", func(w *World, _ cornelbay.HostName) {
		w.Store.Latency = time.Second
		w.After(OutageLength, func() { w.Store.Latency = 0 })
	}},
	{"storeAnswerLost", func(w *World, _ cornelbay.HostName) { w.LoseNextAnswer() }},
	{"leaseLapsedInPause", func(w *World, actor cornelbay.HostName) { w.Pause(actor, PauseLength) }},
	{"operatorsRace", func(w *World, _ cornelbay.HostName) { w.Race() }},
	{"connectionsSilent", func(w *World, _ cornelbay.HostName) { w.SilenceConnections() }},
	{"dataCentreCutOff", func(w *World, actor cornelbay.HostName) { w.CutOff(actor, CutLength) }},
}

func faultNamed(name string) (Fault, bool) {
	for _, list := range [][]Fault{Faults, mutationFaults} {
		for _, f := range list {
			if f.Name == name {
				return f, true
			}
		}
	}
	return Fault{}, false
}
