// Package quota shares the rates of tenants among entry hosts by demand. It has no clock and does no input or output of its own; times are
// relative to any fixed moment. docs/design/organisation-rates.md has the reasons.
package quota
