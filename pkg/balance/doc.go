// Package balance chooses targets of shared services. It draws two targets and takes the better one by this host's own
// observations: the requests in flight and the latency of responses. Load that targets report has a low weight and expires,
// because reports are late or misleading. The approach follows Mitzenmacher, "The Power of Two Choices" (2001), and Prequal
// (Wydrowski et al., "Load is not what you should balance", 2024).
package balance
