package settings

import (
	"reflect"
	"slices"
)

// MaxClasses bounds the classes of one process, dropped and changed ones included.
const MaxClasses = 1 << 10

// keepRestartOnly has those settings that a relay is born with and that wait for a restart take
// their value from the ones in force: its place among the relays, the names and forms by which
// lists, reports and lines are read, and what it does with packets.
func keepRestartOnly(s, was *Settings) Settings {
	o := *s
	o.RelayIndex, o.RelayCount, o.Zone, o.Tick = was.RelayIndex, was.RelayCount, was.Zone, was.Tick
	o.ZoneNames, o.KindNames, o.ReportFieldNames, o.ReportFields = was.ZoneNames, was.KindNames, was.ReportFieldNames, was.ReportFields
	o.Tenants, o.TenantNames = was.Tenants, was.TenantNames
	o.Groups, o.PassThrough, o.ReportsConnectionLoad, o.ReportsMessageDelay = was.Groups, was.PassThrough, was.ReportsConnectionLoad, was.ReportsMessageDelay
	o.Gossip, o.PollEndpoints, o.Weights = was.Gossip, was.PollEndpoints, was.Weights
	return o
}

// SameRestartOnly says whether nothing waits for a restart.
func SameRestartOnly(s, was *Settings) bool {
	return reflect.DeepEqual(*s, keepRestartOnly(s, was))
}

// Merge is what new settings come to beside those in force: the settings, the names of all
// classes by their numbers, and the number of each class of the new settings. A class that
// is as it was keeps its number, a dropped one keeps it for those who came under it, and one
// that has changed is another: so a number says for good by which rules a request goes.
func Merge(inForce *Settings, inForceNames []string, s Settings) (out Settings, names []string, numbers []int, err error) {
	out = keepRestartOnly(&s, inForce)
	out.Classes, names = slices.Clone(inForce.Classes), slices.Clone(inForceNames)
	out.ClassNames = make([]string, len(names))
	for i := range out.Classes {
		out.Classes[i].Retired = true
	}
	for i, c := range s.Classes {
		name, number := s.ClassNames[i], -1
		for j, known := range out.Classes {
			if known.Retired = false; names[j] == name && known == c && out.ClassNames[j] == "" {
				number = j
			}
		}
		if number < 0 {
			number = len(names)
			names, out.ClassNames = append(names, name), append(out.ClassNames, "")
			out.Classes = append(out.Classes, c)
		}
		out.Classes[number].Retired, out.ClassNames[number] = false, name
		numbers = append(numbers, number)
	}
	if len(names) > MaxClasses {
		err = &ClassLimitError{len(names)}
	}
	return out, names, numbers, err
}
