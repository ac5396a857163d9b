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
			a := loopbackAddress(backendNet, r<<backendBits|b)
			if gr, gb, ok := backendPair(a); !ok || gr != r || gb != b || !a.IsLoopback() {
				t.Errorf("%v is %d, %d", a, gr, gb)
			}
			if was := seen[a]; was != "" {
				t.Errorf("%v twice: %s", a, was)
			}
			seen[a] = fmt.Sprint(r, b)
			if b < maxRelays {
				p := loopbackAddress(peerNet, r<<peerBits|b)
				if n, ok := indexInNet(p, peerNet); !ok || n>>peerBits != r || n&(1<<peerBits-1) != b || seen[p] != "" {
					t.Errorf("peers %d, %d: %v", r, b, p)
				}
				seen[p] = fmt.Sprint("peer ", r, b)
			}
		}
		for _, net := range []int{relayNet, discoveryNet, broadcastNet} {
			if seen[loopbackAddress(net, r)] != "" {
				t.Errorf("%v is a pair's too", loopbackAddress(net, r))
			}
		}
	}
}
