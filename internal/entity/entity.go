// Package entity holds the identifiers and outcomes that all other packages share.
// It has no behavior beyond formatting and no dependencies inside the module.
package entity

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"
)

// WorkspaceID names a workspace, the unit of keys, rates and fairness.
type WorkspaceID string

// KeyID names a caller key without revealing it.
type KeyID string

// ModelID names a model that a site offers.
type ModelID string

// AdapterID names an adapter of a model.
type AdapterID string

// UpstreamID names a model engine replica slot or a plain service instance.
type UpstreamID string

// HostID names a host that runs foxtailpass.
type HostID string

// RequestID identifies one caller request across retries.
type RequestID string

// Incarnation is random per process start and tells two processes of one host apart.
type Incarnation string

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation { return Incarnation(RandomHex(8)) }

// RandomHex returns 2n hexadecimal digits from the system's random source.
func RandomHex(n int) string {
	b := make([]byte, n)
	// crypto/rand.Read never fails on supported platforms.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Class is the urgency of a request.
type Class uint8

// The classes, most urgent first.
const (
	Interactive Class = iota
	Patient
)

// ParseClass reads the value of the class header; empty means interactive.
func ParseClass(s string) (Class, error) {
	switch s {
	case "", "interactive":
		return Interactive, nil
	case "patient":
		return Patient, nil
	}
	return Interactive, fmt.Errorf("unknown class %q: allowed are interactive and patient", s)
}

// String returns the header value of the class.
func (c Class) String() string {
	if c == Patient {
		return "patient"
	}
	return "interactive"
}

// Ran says whether a refused request may have been run by an upstream.
type Ran uint8

// The values of Ran. NotRun is used only when proven.
const (
	NotRun Ran = iota
	RanUnknown
)

// String returns the header value.
func (r Ran) String() string {
	if r == NotRun {
		return "not-run"
	}
	return "unknown"
}

// Outcome is the typed result of one attempt at an upstream.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Completed means that the whole answer arrived.
	Completed Outcome = iota
	// AttemptNotRun means that no byte was sent, or that the upstream said it did not run the request.
	AttemptNotRun
	// AttemptFailed means that the upstream ran the request and reported a failure.
	AttemptFailed
	// AttemptUnknown means that the request may have run.
	AttemptUnknown
	// Canceled means that the caller left or the request was canceled.
	Canceled
)

// String returns the metric label of the outcome.
func (o Outcome) String() string {
	switch o {
	case Completed:
		return "completed"
	case AttemptNotRun:
		return "not_run"
	case AttemptFailed:
		return "failed"
	case Canceled:
		return "canceled"
	}
	return "unknown"
}

// Refusal is a final answer other than a result. It is a value, not an error:
// every refusal is an expected outcome of a request.
type Refusal struct {
	// Status is the HTTP status code.
	Status int
	// Code is the stable machine-readable reason, for example "rate_limited".
	Code string
	// Message is one sentence for a person.
	Message string
	// Ran is NotRun only when it is proven that no upstream ran the request.
	Ran Ran
	// RetryAfter tells the caller when to come back; zero means not given.
	RetryAfter time.Duration
}

// Error makes a refusal usable with errors.As at the edges.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Message) }
