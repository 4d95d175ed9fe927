package main

type measureCmd struct {
	Capacity   measureCapacityCmd   `cmd:"" help:"Measure what a host costs against the sizes of a deployment."`
	Forwarding measureForwardingCmd `cmd:"" help:"Packets a second through the shell against a bare loop."`
	Config     measureConfigCmd     `cmd:"" help:"Measure how changes of configuration come into force."`
	Flows      measureFlowsCmd      `cmd:"" help:"Measure broken flows while hosts and targets change."`
	Balance    measureBalanceCmd    `cmd:"" help:"Measure the balance of flows over targets."`
	Requests   measureRequestsCmd   `cmd:"" help:"Measure policies for requests on the same arrivals."`
}
