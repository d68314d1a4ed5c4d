package gateway

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// forwardedHeaders lists the request headers that upstreams get. Everything else, above all
// keys and cookies, stays here: a list of forbidden headers would miss the next new one.
var forwardedHeaders = []string{
	fasthttp.HeaderAccept,
	fasthttp.HeaderAcceptLanguage,
	fasthttp.HeaderContentType,
	IdempotencyKeyHeader,
	"Traceparent",
	"Tracestate",
}

// answeredHeaders lists the headers of upstream answers that callers get.
var answeredHeaders = []string{
	fasthttp.HeaderContentType,
	fasthttp.HeaderCacheControl,
	fasthttp.HeaderContentDisposition,
	fasthttp.HeaderContentLanguage,
	fasthttp.HeaderETag,
	fasthttp.HeaderLastModified,
	fasthttp.HeaderLocation,
	fasthttp.HeaderRetryAfter,
}

// secretParameters are names of query parameters that commonly carry keys; they are matched as
// parts of the lower-case name.
var secretParameters = []string{"key", "token", "auth", "secret", "password", "passwd", "signature", "credential", "session"}

// keyMarker starts every caller key.
const keyMarker = "fxp_"

// copyForwardedHeaders copies the allowed headers whose values carry no key.
func copyForwardedHeaders(dst, src *fasthttp.RequestHeader, key string) {
	for _, name := range forwardedHeaders {
		value := src.Peek(name)
		if len(value) == 0 || isSecret(string(value), key) {
			continue
		}
		dst.SetBytesV(name, value)
	}
}

// forwardedQuery returns the query string without parameters that look like keys.
func forwardedQuery(args *fasthttp.Args, key string) string {
	kept := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(kept)
	for name, value := range args.All() {
		if isSecretName(string(name)) || isSecret(string(value), key) || isSecret(string(name), key) {
			continue
		}
		kept.AddBytesKV(name, value)
	}
	return kept.String()
}

func isSecretName(name string) bool {
	name = strings.ToLower(name)
	for _, part := range secretParameters {
		if strings.Contains(name, part) {
			return true
		}
	}
	return false
}

// isSecret says whether a value carries the caller's key or another caller key.
func isSecret(value, key string) bool {
	return key != "" && strings.Contains(value, key) || strings.Contains(value, keyMarker)
}
