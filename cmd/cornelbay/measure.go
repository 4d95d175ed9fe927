package main

type measureCmd struct {
	Forwarding measureForwardingCmd `cmd:"" help:"Packets a second through the shell against a bare loop."`
}
