// Package cornelbay holds the central types of a layer-4 load balancer whose
// entry hosts take the same decisions from the same inputs.
//
// Decisions perform no I/O: they take inputs with the time and return effects
// that a shell carries out, so that any number of hosts can be driven in one
// process on a virtual clock.
package cornelbay
