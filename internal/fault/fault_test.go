package fault

import "testing"

func TestNodeSet_Contains(t *testing.T) {
	for _, tc := range []struct {
		name  string
		set   NodeSet
		kind  NodeKind
		index int
		want  bool
	}{
		{"any index of an unrestricted set", NodeSet{Kind: Relays}, Relays, 9, true},
		{"another kind", NodeSet{Kind: Relays}, Backends, 0, false},
		{"a listed index", NodeSet{Kind: Backends, Indexes: []int{1, 3}}, Backends, 3, true},
		{"an index that is not listed", NodeSet{Kind: Backends, Indexes: []int{1, 3}}, Backends, 2, false},
		{"an empty list", NodeSet{Kind: Backends, Indexes: []int{}}, Backends, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.set.Contains(tc.kind, tc.index); got != tc.want {
				t.Errorf("%+v contains %s %d: %v, want %v", tc.set, tc.kind, tc.index, got, tc.want)
			}
		})
	}
}

func TestLink_AffectsOneDirectionUnlessBidirectional(t *testing.T) {
	link := Link{From: NodeSet{Kind: Relays, Indexes: []int{2}}, To: NodeSet{Kind: Backends}}
	for _, bidirectional := range []bool{false, true} {
		link.Bidirectional = bidirectional
		if !link.Affects(Relays, 2, Backends, 7) || link.Affects(Relays, 1, Backends, 7) || link.Affects(Relays, 2, Clients, 7) {
			t.Errorf("bidirectional %v: the wrong nodes are affected", bidirectional)
		}
		if link.Affects(Backends, 7, Relays, 2) != bidirectional {
			t.Errorf("bidirectional %v: traffic from the backends is affected: %v", bidirectional, !bidirectional)
		}
	}
}
