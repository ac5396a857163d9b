package controller

import (
	"testing"
	"time"
)

func TestController_PanicEndsItsEventOnly(t *testing.T) {
	controller, _ := newTestController(t, testConfig())
	ran := 0
	controller.deliver(time.Second, func() {
		controller.deferred = append(controller.deferred, func() { ran++ })
		panic("test")
	})
	controller.deliver(time.Second, func() { ran++ })
	if ran != 2 {
		t.Errorf("%d of 2 events after the panic were delivered", ran)
	}
}
