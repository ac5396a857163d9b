package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"aspenbarrow/internal/settings"
)

// ErrIncompleteReplacement is the error that every ReplacementError wraps.
var ErrIncompleteReplacement = errors.New("the file must have all keys of the file in force, with values of the same types")

// ReplacementError reports a key of the file in force that is missing in its replacement, or has a value of another type
// there.
type ReplacementError struct {
	Key    string // path within the file, as in "settings.classes[0].give-up-ms"
	Reason string
}

// Error implements the error interface.
func (e *ReplacementError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Key, e.Reason, ErrIncompleteReplacement)
}

// Unwrap returns ErrIncompleteReplacement.
func (e *ReplacementError) Unwrap() error { return ErrIncompleteReplacement }

// optionalKeys are the keys that a valid file need not have: the cached endpoint list, the settings of the shadow
// evaluation, and the keys that only classes of some idempotency have, for which package settings requires them.
var optionalKeys = map[string]bool{"known": true, "watch": true, "dedup-scope": true, "dedup-window-ms": true}

// CheckReplacement checks whether a file that was read again may replace the one in force: it must have all keys of the
// old one, each with a value of the same type, and valid settings. So a truncated file never takes effect. The keys of
// a TOML file are checked when it is parsed. Errors are *ReplacementError, *settings.FieldError or those of
// encoding/json.
func (c Config) CheckReplacement(old Config) error {
	if c.platform == nil {
		return nil
	}
	var object struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(c.platform, &object); err != nil {
		return err
	}
	if old.platform != nil {
		if err := checkKeys(c.platform, old.platform); err != nil {
			return err
		}
	}
	return settings.Validate(object.Settings)
}

// checkKeys checks that a JSON text has all keys of an older one.
func checkKeys(text, oldText []byte) error {
	var value, old any
	if err := errors.Join(json.Unmarshal(text, &value), json.Unmarshal(oldText, &old)); err != nil {
		return err
	}
	return checkValue("", value, old)
}

// checkValue checks that a JSON value has the shape of an older one: it is of the same type, an object has all keys of
// the old one, and each object in a list has the keys that all objects of the old list have.
func checkValue(path string, value, old any) error {
	switch old := old.(type) {
	case nil: // any value may replace null
		return nil
	case map[string]any:
		object, ok := value.(map[string]any)
		if !ok {
			return &ReplacementError{Key: path, Reason: fmt.Sprintf("is of type %s, expected object", jsonType(value))}
		}
		return checkObject(path, object, old)
	case []any:
		list, ok := value.([]any)
		if !ok {
			return &ReplacementError{Key: path, Reason: fmt.Sprintf("is of type %s, expected list", jsonType(value))}
		}
		return checkList(path, list, old)
	}
	if jsonType(value) != jsonType(old) {
		return &ReplacementError{Key: path, Reason: fmt.Sprintf("is of type %s, expected %s", jsonType(value), jsonType(old))}
	}
	return nil
}

func checkObject(path string, object, old map[string]any) error {
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if optionalKeys[name] {
			continue
		}
		key := joinKey(path, name)
		value, ok := object[name]
		if !ok {
			return &ReplacementError{Key: key, Reason: "is missing"}
		}
		if err := checkValue(key, value, old[name]); err != nil {
			return err
		}
	}
	return nil
}

func checkList(path string, list, old []any) error {
	shape := commonShape(old)
	if shape == nil {
		return nil
	}
	for i, value := range list {
		if err := checkValue(elementKey(path, i), value, shape); err != nil {
			return err
		}
	}
	return nil
}

// commonShape returns an object with the keys that all objects of a list have; nil if the list is empty or contains
// other values.
func commonShape(list []any) map[string]any {
	var shape map[string]any
	for i, value := range list {
		object, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			shape = maps.Clone(object)
			continue
		}
		maps.DeleteFunc(shape, func(key string, _ any) bool {
			_, ok := object[key]
			return !ok
		})
	}
	return shape
}

// jsonType returns the JSON type of a decoded value.
func jsonType(value any) string {
	switch value.(type) {
	case nil:
		return jsonNull
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
