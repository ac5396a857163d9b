package config

import (
	"fmt"
	"strings"
)

// Lengths of a misspelt name, in bytes, and the edit distances up to which another name is suggested for it.
const (
	shortName         = 4 // up to this length: shortNameDistance
	longName          = 8 // from this length on: nameDistance + 1, if no known name is nearer
	shortNameDistance = 1
	nameDistance      = 2
)

// withSuggestion appends to a reason the known name that a misspelt one probably means, if there is one.
func withSuggestion(reason, name string, known []string) string {
	if suggestion := nearest(name, known); suggestion != "" {
		reason += fmt.Sprintf("; did you mean %q?", suggestion)
	}
	return reason
}

// notOneOf returns the reason that a name is not one of the known ones; description says what these are.
func notOneOf(name, description string, known []string) string {
	return withSuggestion(fmt.Sprintf("%q is not one of %s", name, description), name, known)
}

// nearest returns the known name that a misspelt one probably means, empty if there is none.
func nearest(name string, known []string) string {
	limit := nameDistance
	if len(name) <= shortName {
		limit = shortNameDistance
	}
	best, bestDistance := "", limit+1
	spelling := strings.ToLower(strings.ReplaceAll(name, "_", "-"))
	for _, candidate := range known {
		distance := editDistance(spelling, candidate)
		lastResort := distance == bestDistance && best == "" && len(name) >= longName
		if distance < bestDistance || lastResort {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance returns the optimal string alignment distance: how many bytes must be inserted, deleted, replaced or
// swapped with their neighbour to turn one text into the other.
func editDistance(a, b string) int {
	beforeLast, last := make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range last {
		last[j] = j
	}
	for i := range len(a) {
		row := make([]int, len(b)+1)
		row[0] = i + 1
		for j := range len(b) {
			replacement := 1
			if a[i] == b[j] {
				replacement = 0
			}
			row[j+1] = min(last[j]+replacement, last[j+1]+1, row[j]+1)
			if i > 0 && j > 0 && a[i] == b[j-1] && a[i-1] == b[j] {
				row[j+1] = min(row[j+1], beforeLast[j-1]+1)
			}
		}
		beforeLast, last = last, row
	}
	return last[len(b)]
}
