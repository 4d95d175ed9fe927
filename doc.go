// Package cornelbay holds the central types of a layer-4 load balancer whose
// entry hosts make the same decisions from the same inputs.
//
// Decision code performs no I/O. It takes inputs together with the current time
// and returns effects, which the surrounding program carries out. Any number of
// hosts can thus run in one process on a virtual clock.
package cornelbay
