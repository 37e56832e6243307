//go:build deps

// Package deps keeps the modules that tests and tools share in go.mod.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/Shopify/toxiproxy/v2"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/google/uuid"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/stretchr/testify/require"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
