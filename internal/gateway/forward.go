package gateway

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// forwardedHeaders lists the only request headers that are sent to upstreams. This is a list of allowed
// headers because a list of forbidden ones would miss a new header that carries a key or cookie.
var forwardedHeaders = []string{
	fasthttp.HeaderAccept,
	fasthttp.HeaderAcceptLanguage,
	fasthttp.HeaderContentType,
	IdempotencyKeyHeader,
	"Traceparent",
	"Tracestate",
}

// returnedHeaders lists the only headers of upstream answers that are sent to callers.
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

// secretParameters lists substrings of names of query parameters that commonly carry keys. They are compared
// with the lower-case name.
var secretParameters = []string{"key", "token", "auth", "secret", "password", "passwd", "signature", "credential", "session"}

// callerKeyPrefix is the prefix of every caller key; package config issues the keys with it.
const callerKeyPrefix = "fxp_"

// copyForwardedHeaders copies the headers of forwardedHeaders whose values contain no caller key.
func copyForwardedHeaders(dst, src *fasthttp.RequestHeader, key string) {
	for _, name := range forwardedHeaders {
		value := src.Peek(name)
		if len(value) == 0 || containsCallerKey(string(value), key) {
			continue
		}
		dst.SetBytesV(name, value)
	}
}

// forwardedQuery returns the query string without the parameters whose name or value suggests a key.
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
