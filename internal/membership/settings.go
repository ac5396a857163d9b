package membership

import (
	"fmt"
	"time"
)

// Bounds of the settings.
const (
	minProtocolPeriod = 100 * time.Millisecond // probe timeouts are at least 150 ms, so shorter periods barely speed up detection
	maxProtocolPeriod = time.Minute
	maxIndirectProbes = 16 // each costs a healthy relay the receipt of a ping-req and a probe of the target

	minSuspicionPeriodDivisor = 2   // a shorter suspicion would end before the member can refute it
	maxSuspicionPeriods       = 100 // longer ones amount to never marking a member dead
	minForgetPeriods          = 10  // with fewer, a dead member would be forgotten before it is pinged again
)

// Settings configure the protocol. All relays of a fleet must have the same settings.
type Settings struct {
	Fleet               string        // name of the fleet, 1 to 32 bytes; datagrams of other fleets are ignored
	ProtocolPeriod      time.Duration // ProbesPerPeriod members are probed in each period
	ProbesPerPeriod     int           // members probed in a period, 1 to 10
	IndirectProbes      int           // members asked to probe a target that did not answer, 0 to 16
	MinSuspicionTimeout time.Duration // shortest time from the start of a suspicion to the confirmation pings; none after a reported death
	ForgetAfter         time.Duration // time for which a dead member is still pinged occasionally

	plainSWIM bool // for tests only: no Lifeguard extensions, no confirmation pings before a member is marked dead
}

// DefaultSettings returns settings for fleets of up to a thousand relays on one network.
func DefaultSettings(fleet string) Settings {
	return Settings{
		Fleet:               fleet,
		ProtocolPeriod:      time.Second,
		ProbesPerPeriod:     3,
		IndirectProbes:      3,
		MinSuspicionTimeout: 700 * time.Millisecond,
		ForgetAfter:         10 * time.Minute,
	}
}

// SettingError reports a setting outside its bounds.
type SettingError struct {
	Key    string // the setting's key in the [membership] section of configuration files
	Reason string // the value found and the values allowed
}

// Error implements error.
func (e SettingError) Error() string { return "membership." + e.Key + ": " + e.Reason }

// Validate returns an error for each setting that is outside its bounds.
func (s *Settings) Validate() (errs []SettingError) {
	reject := func(invalid bool, key, format string, args ...any) {
		if invalid {
			errs = append(errs, SettingError{key, fmt.Sprintf(format, args...)})
		}
	}
	reject(s.Fleet == "" || len(s.Fleet) > maxNameLength,
		"fleet", "is a name of %d bytes, must be 1 to %d bytes", len(s.Fleet), maxNameLength)
	reject(s.ProtocolPeriod < minProtocolPeriod || s.ProtocolPeriod > maxProtocolPeriod,
		"period", "is %v, must be 100ms to 1m", s.ProtocolPeriod)
	reject(s.ProbesPerPeriod < 1 || s.ProbesPerPeriod > ticksPerPeriod,
		"fan-out", "is %d, must be 1 to %d", s.ProbesPerPeriod, ticksPerPeriod)
	reject(s.IndirectProbes < 0 || s.IndirectProbes > maxIndirectProbes,
		"indirect", "is %d, must be 0 to %d", s.IndirectProbes, maxIndirectProbes)
	reject(s.MinSuspicionTimeout < s.ProtocolPeriod/minSuspicionPeriodDivisor || s.MinSuspicionTimeout > maxSuspicionPeriods*s.ProtocolPeriod,
		"suspicion", "is %v, must be half of membership.period (%v) to a hundred times it", s.MinSuspicionTimeout, s.ProtocolPeriod)
	reject(s.ForgetAfter < minForgetPeriods*s.ProtocolPeriod,
		"forget", "is %v, must be at least ten times membership.period (%v)", s.ForgetAfter, s.ProtocolPeriod)
	return errs
}
