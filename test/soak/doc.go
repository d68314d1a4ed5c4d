// Package soak runs entry hosts as real processes on one machine, injects a seeded series of faults from
// outside, and checks the guarantees of the system against what callers and upstreams observe.
//
// The store and the upstreams are stand-ins in the process of the test. To run several seeds by hand:
//
//	go test ./test/soak -run TestSoak -soak.seeds 50 -soak.first 100 -soak.time 30s -timeout 60m -v
package soak
