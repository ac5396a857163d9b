package settings

import (
	"time"

	"aspenbarrow/balance"
)

// Upper bounds of what an operator can mean; what lies beyond is a slip, such as seconds taken for milliseconds.
const (
	maxTimeoutMS = float64(24 * time.Hour / time.Millisecond)
	maxAttempts  = 1 << 16
)

// Validate holds a settings object to more than Parse does, as is due before it replaces the one in force: each class
// has a name of its own, timeouts and the number of attempts are above 0 and plausible, and lists in the order of the
// classes have an entry for each. An error is a *FieldError for the first field at fault.
func Validate(text []byte) error {
	object, err := decode(text)
	if err != nil {
		return err
	}
	names := map[string]bool{}
	for i := range object.Classes {
		if err := object.validateClass(i, names); err != nil {
			return err
		}
		names[object.Classes[i].Name] = true
	}
	return object.validateLimits()
}

// validateClass checks the class with an index; names holds those of the classes before it.
func (o *info) validateClass(index int, names map[string]bool) error {
	class := &o.Classes[index]
	if class.Name == "" || names[class.Name] {
		return fieldError(classField(index, "name"), class.Name, ErrDuplicateName,
			"class %d has no name of its own: %q", index, class.Name)
	}
	type timeout struct {
		field string
		value float64
	}
	timeouts := []timeout{{"give-up-ms", class.GiveUp}, {"on-time-ms", class.OnTime}}
	if idempotencies[class.Effect] == balance.IdempotentWithKey {
		timeouts = append(timeouts, timeout{"dedup-window-ms", class.Window})
	}
	for _, timeout := range timeouts {
		if !plausibleTimeout(timeout.value) {
			return fieldError(classField(index, timeout.field), timeout.value, ErrOutOfRange,
				"class %q: %s %v is no time above 0 that can be meant", class.Name, timeout.field, timeout.value)
		}
	}
	return nil
}

func (o *info) validateLimits() error {
	if attempts := o.Limits.TryLimit; attempts < 1 || attempts > maxAttempts {
		return fieldError("limits.try-limit", attempts, ErrOutOfRange,
			"limits: try-limit %d is no number of attempts above 0 that can be meant", attempts)
	}
	if timeout := o.Limits.DialTimeout; !plausibleTimeout(timeout) {
		return fieldError("limits.dial-timeout-ms", timeout, ErrOutOfRange,
			"limits: dial-timeout-ms %v is no time above 0 that can be meant", timeout)
	}
	if entries := len(o.Family.MessageAim); entries > 0 && entries < len(o.Classes) {
		return fieldError("family-info.message-aim-ms", o.Family.MessageAim, ErrTooFewEntries,
			"family-info: message-aim-ms has %d entries for %d classes", entries, len(o.Classes))
	}
	return nil
}

// plausibleTimeout says whether a time in milliseconds is above 0 and at most a day.
func plausibleTimeout(ms float64) bool { return ms > 0 && ms <= maxTimeoutMS }
