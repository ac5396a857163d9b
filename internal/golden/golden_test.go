package golden

import "testing"

func TestFirstDifference(t *testing.T) {
	for _, tc := range []struct{ name, got, want, text string }{
		{"different line", "a\nb\n", "a\nc\n", "f:2:\ngot  \"b\"\nwant \"c\""},
		{"missing line", "a", "a\nb", "f:2: \"b\" is missing"},
		{"extra line", "a\nb", "a", "f:2: \"b\" is not in the file"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if text := firstDifference("f", tc.got, tc.want); text != tc.text {
				t.Errorf("%q, want %q", text, tc.text)
			}
		})
	}
}

func TestCompare_EqualText(t *testing.T) { Compare(t, "text.golden", "one\ntwo\n") }
