// Package refusal defines the reasons for which a request ends without a response
// from a target, and the status and outcome that callers receive for each.
package refusal

import (
	"net/http"

	"github.com/cornelbay/cornelbay"
)

// Reason tells why a request ended without a response from a target.
type Reason uint8

// Values of Reason. Explain returns the outcome, status and proof of each.
const (
	// None is the reason of a response from a target.
	None Reason = iota
	NoService
	NoTarget
	BodyTooLarge
	NoTicket
	TicketMalformed
	TicketExpired
	TicketService
	TicketCaller
	TicketUsed
	TicketsOut
	TicketHandedOver
	Stopping
	QueueFull
	TooLate
	DeadlineQueued
	TargetsRefused
	TicketMAC
	TicketMoved
	TicketUnproven
	TicketForgotten
	AnswerForgotten
	IssuerGone
	IssuerUnreached
	IssuerSilent
	AttemptFailed
	DeadlineRunning
	DeadlineRelayed
)

// Explanation describes a Reason to callers and operators.
type Explanation struct {
	Name    string
	Status  int
	Outcome cornelbay.Outcome
	// Field names the invalid part of the request, or is "".
	Field string
	// Text tells the caller what happened and how to proceed.
	Text string
	// Proof tells why a NotRun outcome is certain, or why an Unknown one is not.
	// It documents the reason and isn't part of responses.
	Proof string
}

// ticketHeader is the Field of the reasons that concern a ticket as a whole. It
// equals request.TicketHeader; package request imports this one.
const ticketHeader = "Cornelbay-Ticket"

const (
	notRun  = cornelbay.NotRun
	unknown = cornelbay.Unknown
)

// explanations is the single place that assigns each reason its outcome.
var explanations = [...]Explanation{
	None: {"", http.StatusOK, cornelbay.Answered, "", "", ""},
	NoService: {
		"noService", http.StatusNotFound, notRun, "service",
		"no such service here", "the request was refused before any attempt",
	},
	NoTarget: {
		"noTarget", http.StatusServiceUnavailable, notRun, "",
		"no target of the service takes requests now; try again", "the request was refused before any attempt",
	},
	BodyTooLarge: {
		"bodyTooLarge", http.StatusRequestEntityTooLarge, notRun, "body",
		"the body is over the limit", "the request was refused before any attempt",
	},
	NoTicket: {
		"noTicket", http.StatusPreconditionRequired, notRun, ticketHeader,
		"a request that is not idempotent needs a ticket: GET /tickets?service=NAME&count=N and send one in " + ticketHeader,
		"the request was refused before any attempt",
	},
	TicketMalformed: {
		"ticketMalformed", http.StatusBadRequest, notRun, ticketHeader,
		"the ticket cannot be read", "no host runs a request with a ticket that cannot be read",
	},
	TicketExpired: {
		"ticketExpired", http.StatusGone, notRun, "expiry",
		"the ticket has expired; fetch another", "the issuer still remembers every redemption of such tickets and has none of this one",
	},
	TicketService: {
		"ticketService", http.StatusForbidden, notRun, "service",
		"the ticket is for another service; it is void now", "the issuer had no redemption of this ticket and made it void",
	},
	TicketCaller: {
		"ticketCaller", http.StatusForbidden, notRun, "caller",
		"the ticket is for another caller; it is void now", "the issuer had no redemption of this ticket and made it void",
	},
	TicketUsed: {
		"ticketUsed", http.StatusUnprocessableEntity, notRun, ticketHeader,
		"the ticket was redeemed for another request; fetch another", "the ticket's one run had other content",
	},
	TicketsOut: {
		"ticketsOut", http.StatusServiceUnavailable, notRun, "",
		"too many tickets are out; try again", "no ticket was issued",
	},
	TicketHandedOver: {
		"ticketHandedOver", http.StatusConflict, notRun, ticketHeader,
		"the ticket's host has stopped; fetch another", "the closed ledger of the issuer, or its handover, has no redemption of this ticket and takes none",
	},
	Stopping: {
		"stopping", http.StatusServiceUnavailable, notRun, "",
		"this host is stopping; try again", "the request was refused before any attempt",
	},
	QueueFull: {
		"queueFull", http.StatusServiceUnavailable, notRun, "",
		"all targets are busy; try again", "the request waited in the queue and no attempt was started, or each was refused",
	},
	TooLate: {
		"tooLate", http.StatusServiceUnavailable, notRun, "",
		"the answer would miss the deadline; try again", "the request was refused before any attempt, or each was refused",
	},
	DeadlineQueued: {
		"deadlineQueued", http.StatusGatewayTimeout, notRun, "",
		"the deadline passed while the request waited", "no attempt was started, or each was refused",
	},
	TargetsRefused: {
		"targetsRefused", http.StatusServiceUnavailable, notRun, "",
		"the targets refused the request; try again", "each attempt was refused by the target itself or never written to its connection",
	},
	TicketMAC: {
		"ticketMac", http.StatusForbidden, unknown, "mac",
		"the ticket is not authentic", "its key may have been retired since it was redeemed",
	},
	TicketMoved: {
		"ticketMoved", http.StatusForbidden, unknown, ticketHeader,
		"the ticket is for another caller or service", "its own caller may have redeemed it",
	},
	TicketUnproven: {
		"ticketUnproven", http.StatusServiceUnavailable, unknown, ticketHeader,
		"the request was refused now; an earlier one with the same ticket may have run",
		"only the ticket's issuer can tell",
	},
	TicketForgotten: {
		"ticketForgotten", http.StatusGone, unknown, "expiry",
		"the ticket has expired long ago", "redemptions are no longer remembered",
	},
	AnswerForgotten: {
		"answerForgotten", http.StatusGone, unknown, ticketHeader,
		"the request was taken before and its answer is no longer remembered", "the answer was dropped to bound the memory",
	},
	IssuerGone: {
		"issuerGone", http.StatusBadGateway, unknown, ticketHeader,
		"the ticket's host is gone", "only that host knew whether the ticket was redeemed",
	},
	IssuerUnreached: {
		"issuerUnreached", http.StatusBadGateway, unknown, ticketHeader,
		"the ticket's host is gone; this request was not handed to it, so that a ticket sent only once is not redeemed",
		"an earlier request with the ticket may have reached that host",
	},
	IssuerSilent: {
		"issuerSilent", http.StatusGatewayTimeout, unknown, ticketHeader,
		"the ticket's host did not answer in time", "that host may have run the request; send it again with the same ticket",
	},
	AttemptFailed: {
		"attemptFailed", http.StatusBadGateway, unknown, "",
		"the target did not give a whole answer", "the connection broke after the request was written",
	},
	DeadlineRunning: {
		"deadlineRunning", http.StatusGatewayTimeout, unknown, "",
		"the deadline passed while the request ran", "a target may still run it",
	},
	DeadlineRelayed: {
		"deadlineRelayed", http.StatusGatewayTimeout, unknown, "",
		"the deadline passed while another host had the request", "that host may have run it",
	},
}

// Explain returns the explanation of the reason.
func (r Reason) Explain() Explanation {
	if int(r) < len(explanations) {
		return explanations[r]
	}
	return Explanation{Name: "invalid", Status: http.StatusInternalServerError}
}

// String returns the reason's name as sent in request.ReasonHeader.
func (r Reason) String() string { return r.Explain().Name }

// All returns every reason except None.
func All() []Reason {
	var out []Reason
	for r := None + 1; int(r) < len(explanations); r++ {
		out = append(out, r)
	}
	return out
}
