// Package daysim plays small days of a site in simulated time: hosts that dispatch requests, a
// coordinator that swaps models, and engines with batches, memory, copies on disk and a weight store of
// limited speed. It runs the product's own dispatch and swap packages without a network, so that the
// gain of a policy shows over several seeds in seconds.
package daysim
