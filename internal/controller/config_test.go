package controller

import "testing"

func TestAllocateDescriptors_StaysWithinLimit(t *testing.T) {
	for i, sockets := range []int{8, 64, 256, 1024, 4096, 64, 256, 1024} {
		s := AllocateDescriptors(sockets, 0, i > 4)
		if used := 2*s.Sessions + s.Handshakes + s.HealthChecks + s.AdminConnections + min(ReservedDescriptors, sockets/4); used > sockets || s.Sessions < 1 ||
			s.Handshakes < 1 || s.HealthChecks < 1 || i > 4 != (s.AdminConnections > 0) {
			t.Errorf("%d descriptors: %+v", sockets, s)
		}
		if sockets >= 256 && 3*s.Sessions < sockets { // clients may hold a third of them for requests
			t.Errorf("%d descriptors: %d sessions", sockets, s.Sessions)
		}
	}
	if s := AllocateDescriptors(4096, 1, false); s.Sessions != 10 {
		t.Errorf("%d sessions in a megabyte", s.Sessions)
	}
}
