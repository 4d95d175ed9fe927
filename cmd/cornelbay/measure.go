package main

type measureCmd struct {
	Config measureConfigCmd `cmd:"" help:"Measure how changes of configuration come into force."`
}
