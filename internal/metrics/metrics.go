// Package metrics defines the OpenTelemetry instruments of a host and serves them in the
// Prometheus text format. Every instrument is documented in docs/OPERATIONS.md.
package metrics

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics holds the instruments of one host: those that New creates, and those that the other packages of the host
// register with Gauge and Counter. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	meter    metric.Meter

	requests     metric.Int64Counter
	latency      metric.Float64Histogram
	firstToken   metric.Float64Histogram
	attempts     metric.Int64Counter
	dispatchWait metric.Float64Histogram
}

// latencyBuckets are the histogram boundaries in seconds. They range from a short answer of a loaded model to
// a cold start.
var latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300}

// New creates the instruments that the methods of Metrics record, with a Prometheus registry and exporter of their
// own.
func New() (*Metrics, error) {
	m := &Metrics{registry: prometheus.NewRegistry()}
	exporter, err := otelprom.New(otelprom.WithRegisterer(m.registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	m.meter = sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("foxtailpass")
	return m, m.createInstruments()
}

func (m *Metrics) createInstruments() error {
	var err error
	set := func(e error) {
		if err == nil {
			err = e
		}
	}
	var e error
	m.requests, e = m.meter.Int64Counter("foxtailpass_requests", metric.WithDescription("Final answers to callers by route, status and code."))
	set(e)
	m.latency, e = m.histogram("foxtailpass_request_duration_seconds", "Time from the request's arrival to its final answer.")
	set(e)
	m.firstToken, e = m.histogram("foxtailpass_first_token_seconds", "Time from the request's arrival to the first part of a streamed answer.")
	set(e)
	m.attempts, e = m.meter.Int64Counter("foxtailpass_attempts", metric.WithDescription("Attempts at upstreams by outcome."))
	set(e)
	m.dispatchWait, e = m.histogram("foxtailpass_dispatch_wait_seconds", "Time from a request's arrival to its first dispatch.")
	set(e)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}

func (m *Metrics) histogram(name, description string) (metric.Float64Histogram, error) {
	return m.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBuckets...))
}

// CountRequest counts a final answer and records its duration. The code is the error code of an answer that the host
// generated, and empty for answers of upstreams.
func (m *Metrics) CountRequest(route string, status int, code string, took time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributes(
		attribute.String("route", route), attribute.Int("status", status), attribute.String("code", code)))
	m.latency.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("route", route)))
}

// RecordFirstToken records the time from the arrival of a request to the first part of its streamed answer.
func (m *Metrics) RecordFirstToken(took time.Duration) {
	m.firstToken.Record(context.Background(), took.Seconds())
}

// CountAttempt counts an attempt that has ended.
func (m *Metrics) CountAttempt(outcome string) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// RecordDispatchWait records the time from the arrival of a request to its first dispatch.
func (m *Metrics) RecordDispatchWait(took time.Duration) {
	m.dispatchWait.Record(context.Background(), took.Seconds())
}

// Observation is one value, with its attributes, of an instrument that is read when metrics are collected.
type Observation struct {
	Value      float64
	Attributes []attribute.KeyValue
}

// Gauge registers a gauge whose values are read when metrics are collected.
func (m *Metrics) Gauge(name, description string, read func() []Observation) error {
	return m.observe(name, description, read, false)
}

// Counter registers a counter whose values are read when metrics are collected. They must never decrease.
func (m *Metrics) Counter(name, description string, read func() []Observation) error {
	return m.observe(name, description, read, true)
}

func (m *Metrics) observe(name, description string, read func() []Observation, counter bool) error {
	callback := func(_ context.Context, o metric.Float64Observer) error {
		for _, v := range read() {
			o.Observe(v.Value, metric.WithAttributes(v.Attributes...))
		}
		return nil
	}
	var err error
	if counter {
		_, err = m.meter.Float64ObservableCounter(name, metric.WithDescription(description), metric.WithFloat64Callback(callback))
	} else {
		_, err = m.meter.Float64ObservableGauge(name, metric.WithDescription(description), metric.WithFloat64Callback(callback))
	}
	if err != nil {
		return fmt.Errorf("metrics: %s: %w", name, err)
	}
	return nil
}

// Handler returns the HTTP handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
