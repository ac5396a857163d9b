package controller

import "time"

// shadowHost is the shadow evaluation's view of its controller.
type shadowHost struct{ controller *Controller }

func (h shadowHost) Now() time.Duration { return h.controller.now }

func (h shadowHost) SetShadowTimer(token uint64, after time.Duration) {
	h.controller.setTimer(shadowTimer, token, after)
}
