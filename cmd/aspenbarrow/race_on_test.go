//go:build race

package main

const raceEnabled = true // the race detector raises memory use, so tests do not check memory limits
