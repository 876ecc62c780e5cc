package entry

import (
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
)

// recordNotice lets the dispatcher act on what an answer of the chosen target says about further requests, and logs what it changes.
func (h *Host) recordNotice(request string, choice *dispatch.Choice, notice dispatch.Notice) {
	effect := h.dispatcher.RecordNotice(h.now(), choice, notice)
	if effect.PausedFor > 0 {
		klog.InfoS("target pauses", "request", request, "target", choice.ID, "started", choice.StartedUnixMs, "service", choice.Service,
			"asked", notice.Pause, "for", effect.PausedFor)
		h.requestMetrics.recordNotice(choice.Service, noticePause)
		h.notifyLoadChanged()
	}
	if effect.Leaving {
		klog.InfoS("target leaves", "request", request, "target", choice.ID, "started", choice.StartedUnixMs, "service", choice.Service)
		h.requestMetrics.recordNotice(choice.Service, noticeLeaving)
		h.notifyTargetLeaves()
	}
}
