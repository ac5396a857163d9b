// This file owns the checks of a file that is to replace the one in force. It must never
// let a file pass of which a part is missing, nor hold one to the values of the other.

package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"aspenbarrow/internal/settings"
)

// ErrLacks is wrapped by what says that a file lacks a key of the one in force.
var ErrLacks = errors.New("lacks a key of the file in force")

// mayLack are keys that a sound file may or may not have: the list as last known, and what only classes of some
// effects have (settings.Validate asks for it where it is needed).
var mayLack = map[string]bool{"known": true, "watch": true, "dedup-scope": true, "dedup-window-ms": true}

// Replaces says whether a file, read again, may replace the one in force: it has all of its keys, each with a value of
// its kind, and its deadlines and attempts are sound. A TOML file is held to its keys when it is read.
func (c Config) Replaces(old Config) error {
	if c.text == nil {
		return nil
	}
	var now struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(c.text, &now); err != nil {
		return err
	}
	if old.text != nil {
		var a, b any
		if err := errors.Join(json.Unmarshal(c.text, &a), json.Unmarshal(old.text, &b)); err != nil {
			return err
		}
		if err := lacks("", a, b); err != nil {
			return err
		}
	}
	return settings.Validate(now.Settings)
}

// lacks holds a value to the shape of another: every key of an object, and in a list of objects every key that all of
// them have.
func lacks(at string, now, was any) error {
	switch was := was.(type) {
	case map[string]any:
		now, ok := now.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is no object: %w", at, ErrLacks)
		}
		for _, key := range slices.Sorted(maps.Keys(was)) {
			v, ok := now[key]
			switch {
			case mayLack[key]:
				continue
			case !ok:
				return fmt.Errorf("%s%s is missing: %w", dotted(at), key, ErrLacks)
			}
			if err := lacks(dotted(at)+key, v, was[key]); err != nil {
				return err
			}
		}
	case []any:
		now, ok := now.([]any)
		if !ok {
			return fmt.Errorf("%s is no list: %w", at, ErrLacks)
		}
		if shape := common(was); shape != nil {
			for i, v := range now {
				if err := lacks(fmt.Sprintf("%s[%d]", at, i), v, shape); err != nil {
					return err
				}
			}
		}
	case nil:
	default:
		if kind(now) != kind(was) {
			return fmt.Errorf("%s is a %s, was a %s: %w", at, kind(now), kind(was), ErrLacks)
		}
	}
	return nil
}

// common is an object of the keys that all objects of a list have; nil: it holds others, or nothing.
func common(list []any) any {
	var shape map[string]any
	for i, v := range list {
		o, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			shape = maps.Clone(o)
			continue
		}
		maps.DeleteFunc(shape, func(k string, _ any) bool { _, ok := o[k]; return !ok })
	}
	if shape == nil {
		return nil
	}
	return shape
}

func dotted(at string) string {
	if at == "" {
		return ""
	}
	return at + "."
}

func kind(v any) string {
	switch v.(type) {
	case nil:
		return "null"
	case bool:
		return "boolean"
	case float64:
		return "number"
	case string:
		return "text"
	case []any:
		return "list"
	}
	return "object"
}
