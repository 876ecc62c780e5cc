// Package admin is the administration API of a host: health, readiness, metrics, profiles, status, explanations and
// submissions, as JSON over HTTP. docs/openapi.yaml describes it.
package admin
