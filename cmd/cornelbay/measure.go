package main

type measureCmd struct {
	Requests measureRequestsCmd `cmd:"" help:"Measure policies for requests on the same arrivals."`
}
