// Package daysim simulates short days of a site: hosts that dispatch requests, a coordinator that swaps
// models, and engines with batches, memory, copies on disk and a weight store of limited speed. It runs the
// dispatch and swap packages of the product in simulated time and without a network, so that runs with
// several seeds take seconds and show the gain of a policy.
package daysim
