// Package deps keeps the chosen dependencies in go.mod while the packages are being built.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/Shopify/toxiproxy/v2"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/charmbracelet/log"
	_ "github.com/evanphx/json-patch/v5"
	_ "github.com/fasthttp/router"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rs/zerolog"
	_ "github.com/urfave/cli/v3"
	_ "github.com/valyala/fasthttp"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/metric"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "go.uber.org/dig"
	_ "go.uber.org/goleak"
	_ "pgregory.net/rapid"
)
