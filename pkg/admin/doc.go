// Package admin serves the administration API of a host over HTTP: health, readiness, metrics, profiles, the status of
// the deployment, the owner of a key, and submissions of configuration files. docs/openapi.yaml describes it.
package admin
