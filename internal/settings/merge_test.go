package settings

import (
	"slices"
	"testing"
	"time"

	"aspenbarrow/balance"
)

func TestMerge_ClassNumbers(t *testing.T) {
	quick := balance.Class{ClientTimeout: time.Second}
	slow := balance.Class{ClientTimeout: time.Minute}
	inForce := Settings{ClassNames: []string{"a", "b"}, ZoneNames: []string{"east"},
		Settings: balance.Settings{Classes: []balance.Class{quick, slow}}}
	// b is unchanged but now first, a has changed, and c is new.
	updated := Settings{ClassNames: []string{"b", "a", "c"}, ZoneNames: []string{"west"},
		Settings: balance.Settings{Classes: []balance.Class{slow, slow, quick}, MaxAttempts: 3}}
	merged, names, numbers, err := Merge(&inForce, inForce.ClassNames, updated)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(names, []string{"a", "b", "a", "c"}) || !slices.Equal(numbers, []int{1, 2, 3}) {
		t.Errorf("got names %q, numbers %v", names, numbers)
	}
	if !slices.Equal(merged.ClassNames, []string{"", "b", "a", "c"}) || !merged.Classes[0].Retired || merged.Classes[1].Retired {
		t.Errorf("got class names %q, classes %+v", merged.ClassNames, merged.Classes)
	}
	if merged.MaxAttempts != 3 || merged.ZoneNames[0] != "east" || SameRestartOnly(&updated, &inForce) {
		t.Errorf("got %d attempts, zones %q", merged.MaxAttempts, merged.ZoneNames)
	}
}
