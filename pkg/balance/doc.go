// Package balance chooses targets of shared services. It draws two targets and takes the better one by what this host
// has seen itself: requests in flight and how slowly they are answered. Reported load counts little and expires, because
// reports are late or misleading. The approach follows Mitzenmacher, "The Power of Two Choices" (2001), and Prequal
// (Wydrowski et al., "Load is not what you should balance", 2024).
package balance
