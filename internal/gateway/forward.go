package gateway

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// forwardedHeaders lists the request headers that are forwarded to upstreams; all others are dropped. A list of
// forbidden headers instead would miss a new header that carries a key or cookie.
var forwardedHeaders = []string{
	fasthttp.HeaderAccept,
	fasthttp.HeaderAcceptLanguage,
	fasthttp.HeaderContentType,
	IdempotencyKeyHeader,
	"Traceparent",
	"Tracestate",
}

// returnedHeaders lists the headers of upstream answers that are forwarded to callers; all others are dropped.
var returnedHeaders = []string{
	fasthttp.HeaderContentType,
	fasthttp.HeaderCacheControl,
	fasthttp.HeaderContentDisposition,
	fasthttp.HeaderContentLanguage,
	fasthttp.HeaderETag,
	fasthttp.HeaderLastModified,
	fasthttp.HeaderLocation,
	fasthttp.HeaderRetryAfter,
}

// secretParameters lists substrings, in lower case, of the names of query parameters that commonly carry secrets. Such
// parameters are not forwarded.
var secretParameters = []string{"key", "token", "auth", "secret", "password", "passwd", "signature", "credential", "session"}

// callerKeyPrefix is the prefix of every caller key; package config issues the keys with it.
const callerKeyPrefix = "fxp_"

// copyForwardedHeaders copies the headers in forwardedHeaders whose values contain no caller key. key is the key of the
// request, empty if none.
func copyForwardedHeaders(dst, src *fasthttp.RequestHeader, key string) {
	for _, name := range forwardedHeaders {
		value := src.Peek(name)
		if len(value) == 0 || containsCallerKey(string(value), key) {
			continue
		}
		dst.SetBytesV(name, value)
	}
}

// forwardedQuery returns the query string without the parameters for whose names isSecretName returns true, and without
// those whose name or value contains a caller key.
func forwardedQuery(args *fasthttp.Args, key string) string {
	kept := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(kept)
	for name, value := range args.All() {
		if isSecretName(string(name)) || containsCallerKey(string(value), key) || containsCallerKey(string(name), key) {
			continue
		}
		kept.AddBytesKV(name, value)
	}
	return kept.String()
}

// isSecretName reports whether a parameter name contains one of secretParameters.
func isSecretName(name string) bool {
	name = strings.ToLower(name)
	for _, part := range secretParameters {
		if strings.Contains(name, part) {
			return true
		}
	}
	return false
}

// containsCallerKey reports whether a value contains the caller's own key or the prefix of any caller key.
func containsCallerKey(value, key string) bool {
	return key != "" && strings.Contains(value, key) || strings.Contains(value, callerKeyPrefix)
}
