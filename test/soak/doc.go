// Package soak runs the real entry hosts as processes on one machine, disturbs them from outside with a
// seeded series of faults, and checks the promises of the system from what callers and upstreams see.
//
// The store and the upstreams are stand-ins in the process of the test. By hand:
//
//	go test ./test/soak -run TestSoak -soak.seeds 50 -soak.first 100 -soak.time 30s -timeout 60m -v
package soak
