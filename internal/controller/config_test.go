package controller

import "testing"

func TestAllocateDescriptors_StaysWithinLimit(t *testing.T) {
	for i, descriptors := range []int{8, 64, 256, 1024, 4096, 64, 256, 1024} {
		limits := AllocateDescriptors(descriptors, 0, i > 4) // the last three with an admin endpoint
		if used := 2*limits.Sessions + limits.Handshakes + limits.HealthChecks + limits.AdminConnections +
			min(ReservedDescriptors, descriptors/4); used > descriptors || limits.Sessions < 1 || limits.Handshakes < 1 || limits.HealthChecks < 1 || i > 4 != (limits.AdminConnections > 0) {
			t.Errorf("%d descriptors: %+v", descriptors, limits)
		}
		if descriptors >= 256 && 3*limits.Sessions < descriptors { // clients may hold a third of them for requests
			t.Errorf("%d descriptors: only %d sessions", descriptors, limits.Sessions)
		}
	}
	if limits := AllocateDescriptors(4096, 1, false); limits.Sessions != 10 {
		t.Errorf("%d sessions within 1 MiB, want 10", limits.Sessions)
	}
}
