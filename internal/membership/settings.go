package membership

import (
	"fmt"
	"time"
)

// Bounds of the settings.
const (
	minProtocolPeriod = 100 * time.Millisecond // probe timeouts are 150 ms at least, so shorter periods detect little sooner
	maxProtocolPeriod = time.Minute
	maxIndirectProbes = 16 // each is a datagram to, and work for, a relay that has no trouble

	minSuspicionPeriodDivisor = 2   // a suspicion shorter than half a period ends before it can be refuted
	maxSuspicionPeriods       = 100 // longer ones amount to never marking a member dead
	minForgetPeriods          = 10  // fewer would forget a member before it was asked for again
)

// Settings configure the protocol. All relays of a fleet need the same.
type Settings struct {
	Fleet               string        // name of the fleet, 1 to 32 bytes; datagrams of other fleets are ignored
	ProtocolPeriod      time.Duration // ProbesPerPeriod members are probed in each period
	ProbesPerPeriod     int           // members probed in a period, 1 to 10
	IndirectProbes      int           // members asked to probe one that did not answer, 0 to 16
	MinSuspicionTimeout time.Duration // shortest time from a suspicion to the attempt to confirm it
	ForgetAfter         time.Duration // time for which a dead member is still asked for now and then

	plainSWIM bool // tests only: no Lifeguard extensions, no own probes before a member is marked dead
}

// DefaultSettings returns settings that suit fleets of up to a thousand relays on one network.
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
		"fleet", "a name of 1 to %d bytes is wanted", maxNameLength)
	reject(s.ProtocolPeriod < minProtocolPeriod || s.ProtocolPeriod > maxProtocolPeriod,
		"period", "%v, wanted is 100ms to 1m", s.ProtocolPeriod)
	reject(s.ProbesPerPeriod < 1 || s.ProbesPerPeriod > ticksPerPeriod,
		"fan-out", "%d, wanted is 1 to %d", s.ProbesPerPeriod, ticksPerPeriod)
	reject(s.IndirectProbes < 0 || s.IndirectProbes > maxIndirectProbes,
		"indirect", "%d, wanted is 0 to %d", s.IndirectProbes, maxIndirectProbes)
	reject(s.MinSuspicionTimeout < s.ProtocolPeriod/minSuspicionPeriodDivisor || s.MinSuspicionTimeout > maxSuspicionPeriods*s.ProtocolPeriod,
		"suspicion", "%v does not go with membership.period, %v: half of it to a hundred times", s.MinSuspicionTimeout, s.ProtocolPeriod)
	reject(s.ForgetAfter < minForgetPeriods*s.ProtocolPeriod,
		"forget", "%v is under ten times membership.period, %v", s.ForgetAfter, s.ProtocolPeriod)
	return errs
}
