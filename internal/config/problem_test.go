package config

import (
	"errors"
	"os"
	"strings"
	"testing"

	"aspenbarrow/internal/routing"
	"aspenbarrow/internal/settings"
)

func TestProblem_ValueAndCause(t *testing.T) {
	for _, tc := range []struct {
		name, from, to, key string
		value               any
		cause               error
	}{
		{"not TOML", `[relay]`, `[relay`, syntaxKey, nil, ErrSyntax},
		{"an unknown key", `name = "n1"`, `nmae = "n1"`, "relay.nmae", nil, ErrUnknownKey},
		{"a missing key", `listen = "127.0.0.1:5000"`, ``, "relay.listen", nil, ErrMissingKey},
		{"a number for a text", `name = "n1"`, `name = 7`, "relay.name", int64(7), ErrWrongType},
		{"a negative number", `number = 1`, `number = -1`, "relay.number", int64(-1), ErrOutOfRange},
		{"a word that is not one of those allowed", `effect = "keyed"`, `effect = "odd"`, "class[1].effect", "odd", ErrUnknownValue},
		{"an address without a port", `address = "127.0.0.1:8500"`, `address = "nowhere"`, "discovery.address", "nowhere", ErrInvalidValue},
		{"a duplicate name", `name = "sig-fetch"`, `name = "status-watch"`, "class[1].name", "status-watch", ErrDuplicate},
		{"keys that conflict", `on-time = "300ms"`, `on-time = "2s"`, "class[1].on-time", "2s", ErrConflict},
		{"a retry policy", `attempts = 3`, `attempts = 5`, "route[1].attempts", int64(5), routing.ErrPolicy},
		{"a route that is never reached", `tenant = "milano"`, `class = "sig-fetch"`, "route[2]", nil, routing.ErrShadowedRoute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if !strings.Contains(validTOML, tc.from) {
				t.Fatalf("%q is not in validTOML", tc.from)
			}
			_, err := Parse("bad.toml", []byte(strings.Replace(validTOML, tc.from, tc.to, 1)), noEnvironment, false)
			var problem Problem
			if !errors.As(err, &problem) || !errors.Is(err, tc.cause) {
				t.Fatalf("got %v, want %v", err, tc.cause)
			}
			if problem.File != "bad.toml" || problem.Line < 1 || problem.Key != tc.key || problem.Value != tc.value ||
				!errors.Is(problem, tc.cause) {
				t.Errorf("got %#v, want %s: %v", problem, tc.key, tc.value)
			}
		})
	}
}

func TestKeyError_ValueAndCause(t *testing.T) {
	text, err := os.ReadFile("testdata/every.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name, from, to, key string
		value               any
		cause               error // nil: an error of another package
	}{
		{"not JSON", `{`, ``, "", nil, nil},
		{"a number for a text", `"listen": "127.0.0.1:5001"`, `"listen": 7`, "listen", "number", nil},
		{"a missing key", `"listen": "127.0.0.1:5001"`, `"listen": ""`, "listen", nil, ErrMissingKey},
		{"an address without a port", `"discovery": "127.0.0.1:8501"`, `"discovery": "x"`, "discovery", "x", nil},
		{"a seed that is not a number", `"seed": "8c1f30d27a5be964"`, `"seed": "x"`, "seed", "x", nil},
		{"a field of the settings", `"try-limit": 5`, `"try-limit": 0`, "settings.limits.try-limit", 0, settings.ErrOutOfRange},
		{"a membership setting", `"period_ms": 2000`, `"period_ms": 1`, "membership.period", nil, ErrInvalidValue},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if !strings.Contains(string(text), tc.from) {
				t.Fatalf("%q is not in the file", tc.from)
			}
			_, err := parsePlatform("bad.json", []byte(strings.Replace(string(text), tc.from, tc.to, 1)), noEnvironment, false)
			var failure *KeyError
			if !errors.As(err, &failure) || failure.Err == nil || tc.cause != nil && !errors.Is(err, tc.cause) {
				t.Fatalf("got %#v, want %v", err, tc.cause)
			}
			if failure.File != "bad.json" || failure.Key != tc.key || failure.Value != tc.value {
				t.Errorf("got %#v, want %s: %v", failure, tc.key, tc.value)
			}
		})
	}
}

func TestReplacementError(t *testing.T) {
	err := checkReplacement(t, strings.Replace(validJSON, `"fall-ms":3000`, ``, 1))
	var replacement *ReplacementError
	if !errors.As(err, &replacement) || !errors.Is(err, ErrIncompleteReplacement) || replacement.Key != "settings.rules.fall-ms" {
		t.Errorf("%#v", err)
	}
}

func TestDescriptionError(t *testing.T) {
	c, err := Parse("a.toml", []byte(validTOML), noEnvironment, false)
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.RoutingRequest(RequestDescription{Class: "sig-fetsh", Protocol: "line"})
	var failure *DescriptionError
	if !errors.As(err, &failure) || !errors.Is(err, ErrUnknownValue) || failure.Part != "class" || failure.Value != "sig-fetsh" {
		t.Errorf("%#v", err)
	}
}
