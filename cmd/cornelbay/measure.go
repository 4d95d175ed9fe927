package main

type measureCmd struct {
	Capacity   measureCapacityCmd   `cmd:"" help:"Measure the cost of a host by the size of the deployment."`
	Forwarding measureForwardingCmd `cmd:"" help:"Measure the packets per second that a host forwards, compared with a minimal forwarding loop."`
	Config     measureConfigCmd     `cmd:"" help:"Measure how changes of configuration come into force."`
	Flows      measureFlowsCmd      `cmd:"" help:"Measure broken flows while hosts and targets change."`
	Balance    measureBalanceCmd    `cmd:"" help:"Measure the balance of flows over targets."`
	Requests   measureRequestsCmd   `cmd:"" help:"Measure policies for requests on the same arrivals."`
}
