// Package daysim simulates short days of a site: hosts that dispatch requests, a coordinator that swaps
// models, and engines with batches, memory, copies on disk and a weight store of limited speed. It runs the
// dispatch and swap packages of the product in simulated time and without a network, so that runs with
// several seeds take seconds and show the gain of a policy.
//
// A day is a load pattern with faults. A policy selects the rules by which hosts dispatch requests and the
// coordinator swaps models: the policy "product" those of the product, the others simpler rules in place of
// some of these. The worth of a run is the credit that its answers earn, as a share of the credit for the same
// answers if all were in time.
package daysim
