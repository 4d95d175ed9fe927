package matrix

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/agree"
	"github.com/cornelbay/cornelbay/measure"
)

// Mutation switches one safety rule off, at the interfaces of the hosts, so that
// a test can show that the matrix notices its absence.
type Mutation struct {
	Name string
	// Cell is the cell that notices, and Breaks the promise that it sees broken.
	Cell   Cell
	Breaks Promise
}

// The names of the mutations.
const (
	blindUpdate     = "conditionalUpdate"
	instantActivate = "prepareStep"
	doubleSend      = "ticketRedeemOnce"
	blindWake       = "pauseCheck"
	trustTruncated  = "wholenessCheck"
)

// Mutations lists the safety rules that can be switched off.
var Mutations = []Mutation{
	// A head is moved whatever its version is.
	{blindUpdate, Cell{Agence, "apply", "beforeHead", []string{"operatorsRace"}}, ChangeInForce},
	// An epoch is put into force by the message that proposes it.
	{instantActivate, Cell{Agence, "drain", "committed", []string{lostProposals}}, FlowsSurvive},
	// A request that is not idempotent is sent again by the connection's layer.
	{doubleSend, Cell{Agence, "ticket", "redeemed", []string{"connectionsSilent"}}, AtMostOnce},
	// A host that wakes acts on what it knew before.
	{blindWake, Cell{Agence, "takeOut", "committed", []string{"leaseLapsedInPause"}}, OutIsSilent},
	// An answer is taken as whole whatever its length is.
	{trustTruncated, Cell{Agence, "ticket", "redeemed", []string{"connectionsSilent"}}, WholeOwnAnswer},
}

// lostProposals is a fault that only the mutations use: two hosts miss the
// proposals of epochs for a while.
const lostProposals = "proposalsLost"

const proposalsLostFor = 2 * time.Second

var mutationFaults = []Fault{
	{lostProposals, func(w *World, _ cornelbay.HostName) { w.deafToProposals = w.Now.Add(proposalsLostFor) }},
}

// RunMutated runs one cell with a safety rule switched off.
func RunMutated(c Cell, seed uint64, mutation string) (Result, error) {
	w, err := NewWorld(c.Deployment, seed)
	if err != nil {
		return Result{}, err
	}
	w.mutation = mutation
	return w.run(c)
}

// proposal handles the message of an epoch and reports whether it goes out.
func (w *World) proposal(n *measure.Node, s cornelbay.Send) bool {
	p, ok := s.Message.(agree.Proposal)
	if !ok {
		return true
	}
	if w.Now.Before(w.deafToProposals) && (s.To == hostName(4) || s.To == hostName(5)) {
		return false
	}
	if w.mutation == instantActivate && !p.Active {
		p.Active = true
		w.CarryOut(n, []cornelbay.Effect{cornelbay.Send{To: s.To, Address: s.Address, Message: p}})
		return false
	}
	return true
}
