package settings

import (
	"time"

	"aspenbarrow/balance"
)

// Upper bounds of plausible values; larger ones are mistakes, such as microseconds given as milliseconds.
const (
	maxTimeoutMS = float64(24 * time.Hour / time.Millisecond)
	maxAttempts  = 1 << 16
)

// Validate checks a settings object more strictly than Parse, before the object replaces the one in force: each class has a
// unique name, timeouts and the number of attempts are above 0 and plausible, and a list in the order of the classes that is
// not empty has an entry for each class. An error is a *FieldError for the first invalid field.
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

// validateClass checks the class with the given index; names contains the names of the classes before it.
func (o *info) validateClass(index int, names map[string]bool) error {
	class := &o.Classes[index]
	if class.Name == "" || names[class.Name] {
		return fieldError(classField(index, "name"), class.Name, ErrDuplicateName,
			"class %d: name %q is empty or used by an earlier class", index, class.Name)
	}
	type timeout struct {
		field string
		value float64
	}
	timeouts := []timeout{{"give-up-ms", class.ClientTimeout}, {"on-time-ms", class.LatencyObjective}}
	if idempotencies[class.Idempotency] == balance.IdempotentWithKey {
		timeouts = append(timeouts, timeout{"dedup-window-ms", class.DedupWindow})
	}
	for _, timeout := range timeouts {
		if !plausibleTimeout(timeout.value) {
			return fieldError(classField(index, timeout.field), timeout.value, ErrOutOfRange,
				"class %q: %s %v is out of range, expected more than 0 and at most %.0f",
				class.Name, timeout.field, timeout.value, maxTimeoutMS)
		}
	}
	return nil
}

func (o *info) validateLimits() error {
	if attempts := int(o.Limits.MaxAttempts); attempts < 1 || attempts > maxAttempts {
		return fieldError("limits.try-limit", attempts, ErrOutOfRange,
			"limits: try-limit %d is out of range, expected 1 to %d", attempts, maxAttempts)
	}
	if timeout := o.Limits.DialTimeout; !plausibleTimeout(timeout) {
		return fieldError("limits.dial-timeout-ms", timeout, ErrOutOfRange,
			"limits: dial-timeout-ms %v is out of range, expected more than 0 and at most %.0f", timeout, maxTimeoutMS)
	}
	if entries := len(o.Family.MessageLatencyObjectives); entries > 0 && entries < len(o.Classes) {
		return fieldError("family-info.message-aim-ms", o.Family.MessageLatencyObjectives, ErrTooFewEntries,
			"family-info: message-aim-ms has %d entries for %d classes", entries, len(o.Classes))
	}
	return nil
}

// plausibleTimeout reports whether a time in milliseconds is above 0 and at most a day.
func plausibleTimeout(ms float64) bool { return ms > 0 && ms <= maxTimeoutMS }
