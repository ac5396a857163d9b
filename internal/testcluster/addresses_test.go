package testcluster

import (
	"fmt"
	"net/netip"
	"testing"
)

func TestLoopbackAddress_IsUniquePerPair(t *testing.T) {
	seen := map[netip.Addr]string{}
	for _, r := range []int{0, 1, 255, 256, maxRelays - 1} {
		for _, b := range []int{0, 1, 255, 256, maxBackends - 1} {
			addr := loopbackAddress(backendNet, r<<backendBits|b)
			if gotRelay, gotBackend, ok := backendPair(addr); !ok || gotRelay != r || gotBackend != b || !addr.IsLoopback() {
				t.Errorf("the address of relay %d and backend %d, %v, is parsed as that of relay %d and backend %d", r, b, addr, gotRelay, gotBackend)
			}
			if other := seen[addr]; other != "" {
				t.Errorf("address %v of relay %d and backend %d is also that of %s", addr, r, b, other)
			}
			seen[addr] = fmt.Sprint(r, b)
			if b < maxRelays {
				peerAddr := loopbackAddress(peerNet, r<<peerBits|b)
				if n, ok := indexInNet(peerAddr, peerNet); !ok || n>>peerBits != r || n&(1<<peerBits-1) != b || seen[peerAddr] != "" {
					t.Errorf("peer address %v of relays %d and %d is parsed wrongly or not unique", peerAddr, r, b)
				}
				seen[peerAddr] = fmt.Sprint("peer ", r, b)
			}
		}
		for _, net := range []int{relayNet, discoveryNet, broadcastNet} {
			if seen[loopbackAddress(net, r)] != "" {
				t.Errorf("address %v is also that of a pair", loopbackAddress(net, r))
			}
		}
	}
}
