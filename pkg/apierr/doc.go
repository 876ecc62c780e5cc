// Package apierr defines the typed refusals that callers and operators receive. Each carries a stable code, whether
// the request was run, and when a retry may help, in the sense of RFC 9110 sections 10.2.3 and 15.
package apierr
