package main

type measureCmd struct {
	Flows   measureFlowsCmd   `cmd:"" help:"Measure broken flows while hosts and targets change."`
	Balance measureBalanceCmd `cmd:"" help:"Measure the balance of flows over targets."`
}
