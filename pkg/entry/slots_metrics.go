package entry

import (
	"github.com/uber-go/tally/v4"

	"almondrock.example/almondrock/pkg/metrics"
)

// slotMetrics counts what happens to asks for turns.
type slotMetrics struct {
	scope tally.Scope
	// sent and received count the bytes of datagrams with their IP and UDP headers.
	sent, received, undecodable, lateTurns tally.Counter
}

func newSlotMetrics(scope tally.Scope) *slotMetrics {
	counter := func(name, tag, value string) tally.Counter {
		return scope.Tagged(map[string]string{tag: value}).Counter(name)
	}
	return &slotMetrics{
		scope: scope, sent: counter(metrics.SlotBytes, metrics.TagDirection, "sent"), received: counter(metrics.SlotBytes, metrics.TagDirection, "received"),
		undecodable: scope.Counter(metrics.SlotDatagramErrors), lateTurns: scope.Counter(metrics.SlotLateTurns),
	}
}

// ask counts an ask by its result: turn, the reason of a refusal, or why there was no answer.
func (m *slotMetrics) ask(service, result string) {
	m.scope.Tagged(map[string]string{metrics.TagService: service, metrics.TagResult: result}).Counter(metrics.SlotAsks).Inc(1)
}

// fallBack counts a request that is sent to a target of this host's choice, by reason.
func (m *slotMetrics) fallBack(service, reason string) {
	m.scope.Tagged(map[string]string{metrics.TagService: service, metrics.TagResult: reason}).Counter(metrics.SlotFallBacks).Inc(1)
}

// stateChange counts the changes of groups and of the schedulers of other hosts.
func (m *slotMetrics) stateChange(result string) {
	m.scope.Tagged(map[string]string{metrics.TagResult: result}).Counter(metrics.SlotStateChanges).Inc(1)
}
