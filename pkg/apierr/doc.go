// Package apierr defines the typed errors that callers and operators receive when a request is refused. Each refusal
// carries a stable code, whether the target ran the request, and when a retry may succeed. HTTP statuses and the
// Retry-After header follow RFC 9110 sections 15 and 10.2.3.
package apierr
