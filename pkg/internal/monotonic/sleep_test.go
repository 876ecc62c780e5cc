package monotonic

import (
	"context"
	"testing"
)

// Guards against an order that is carried out although the end of its caller's connection was known, because the timer was ready too (EVAC).
func TestSleepTellsThatItsContextHasEnded(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 1000 {
		if Sleep(ctx, 0) {
			t.Fatal("a context that had ended was not noticed")
		}
	}
}
