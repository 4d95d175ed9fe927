// Package cornelbay holds the central types of a load balancer for flows (layer
// 4) and HTTP requests, whose entry hosts make the same decisions from the same
// inputs.
//
// The fabric is the network that delivers the callers' packets to the hosts, in
// Geneve datagrams. The platform is the environment of the deployment; its
// metadata store holds the configuration. The head is the stored object that
// names the committed generation of the configuration.
//
// Decision code performs no I/O. It takes inputs together with the current time
// and returns effects, which the surrounding program carries out. Any number of
// hosts can thus run in one process on a virtual clock.
package cornelbay
