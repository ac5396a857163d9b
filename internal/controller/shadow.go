package controller

import "time"

// shadowHost gives the shadow evaluation access to the controller's clock and timers.
type shadowHost struct{ controller *Controller }

func (h shadowHost) Now() time.Duration { return h.controller.now }

func (h shadowHost) SetShadowTimer(token uint64, after time.Duration) {
	h.controller.setTimer(shadowTimer, token, after)
}
