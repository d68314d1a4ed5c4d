// Package entity defines the identifiers and outcomes that all other packages share.
// It does nothing beyond parsing and formatting them and generating random IDs, and has no dependencies inside
// the module.
package entity

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"
)

// WorkspaceID names a workspace. Caller keys belong to a workspace, and rate limits and fair scheduling apply
// to it.
type WorkspaceID string

// RateKey identifies a rate that all hosts keep together: it is the ID of a workspace or of an upstream, by the
// kind of the rate.
type RateKey string

// KeyID names a caller key without revealing it.
type KeyID string

// ModelID names a model that a site offers.
type ModelID string

// AdapterID names an adapter of a model.
type AdapterID string

// UpstreamID names an upstream: a model engine or an instance of a plain service.
type UpstreamID string

// HostID names a host that runs foxtailpass.
type HostID string

// PromptPartID identifies one part of a prompt. Requests whose prompts have a part in common state the same ID for it.
type PromptPartID string

// Release is the version of the software that an upstream runs, not of its weights. Releases have no order. What two
// releases write does not fit together.
type Release string

// ReleaseUnproven stands for the release of a stream that began at an upstream whose release was not proven then. No upstream
// has it, so the stream is continued nowhere.
const ReleaseUnproven Release = "?"

// RequestDigest identifies the content of a request: its caller, target and body. A request that a caller sends again
// has the same digest and another RequestID.
type RequestDigest string

// RequestID identifies one caller request across retries.
type RequestID string

// Incarnation identifies one process of a host. Every process chooses it randomly at its start.
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

// Ran states whether an upstream may have run a refused request.
type Ran uint8

// The values of Ran. NotRun is used only when it is proven that no upstream ran the request.
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
	// AttemptNotRun means that no byte was sent, or that the upstream reported that it did not run the request.
	AttemptNotRun
	// AttemptFailed means that the upstream ran the request and reported a failure.
	AttemptFailed
	// AttemptUnknown means that the request may have run.
	AttemptUnknown
	// Canceled means that the caller disconnected or the request was canceled.
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

// Refusal is a final answer to a request other than a result of an upstream. Refusals are expected outcomes
// and are passed as values, not returned as errors.
type Refusal struct {
	// Status is the HTTP status code.
	Status int
	// Code is the stable machine-readable reason, for example "rate_limited".
	Code string
	// Message is one sentence for a human reader.
	Message string
	// Ran is NotRun only when it is proven that no upstream ran the request.
	Ran Ran
	// RetryAfter is the time after which the caller should retry. Zero means that the answer names no time.
	RetryAfter time.Duration
}

// Error implements error, so that code outside of the decision packages can return a refusal as an error and
// find it with errors.As.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Message) }
