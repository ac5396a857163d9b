package settings

import (
	"reflect"
	"slices"

	"aspenbarrow/balance"
)

// MaxClasses bounds the classes of one process, dropped and changed ones included.
const MaxClasses = 1 << 10

// SameRestartOnly reports whether nothing in new settings has to wait for a restart.
func SameRestartOnly(updated, inForce *Settings) bool {
	return reflect.DeepEqual(*updated, keepRestartOnly(updated, inForce))
}

// Merge returns what new settings come to beside those in force, the names of all classes by their numbers, and the number
// of each class of the new settings. A class that has not changed keeps its number, a dropped one keeps it for requests
// that came under it, and one that has changed gets another: a number says for good by which rules a request goes. It fails
// over MaxClasses.
func Merge(inForce *Settings, inForceNames []string, updated Settings) (merged Settings, names []string, numbers []int, err error) {
	merged = keepRestartOnly(&updated, inForce)
	merged.Classes, names = slices.Clone(inForce.Classes), slices.Clone(inForceNames)
	merged.ClassNames = make([]string, len(names)) // empty where a class is dropped
	for i := range merged.Classes {
		merged.Classes[i].Retired = true
	}
	for i, class := range updated.Classes {
		name := updated.ClassNames[i]
		number := unchangedClass(&merged, names, name, class)
		if number < 0 {
			number = len(names)
			names = append(names, name)
			merged.Classes = append(merged.Classes, class)
			merged.ClassNames = append(merged.ClassNames, "")
		}
		merged.Classes[number].Retired = false
		merged.ClassNames[number] = name
		numbers = append(numbers, number)
	}
	if len(names) > MaxClasses {
		err = &ClassLimitError{len(names)}
	}
	return merged, names, numbers, err
}

// unchangedClass is the number of a known class with a name and the same rules that no class of the new settings has yet; -1:
// there is none. Of several the newest is taken.
func unchangedClass(merged *Settings, names []string, name string, class balance.Class) int {
	for number := len(names) - 1; number >= 0; number-- {
		known := merged.Classes[number]
		known.Retired = false
		if names[number] == name && known == class && merged.ClassNames[number] == "" {
			return number
		}
	}
	return -1
}

// keepRestartOnly returns new settings with those of the settings in force that wait for a restart: the relay's place among
// the others, the names and forms by which lists, reports and lines are read, and what is done with packets.
func keepRestartOnly(updated, inForce *Settings) Settings {
	kept := *updated
	kept.RelayIndex, kept.RelayCount = inForce.RelayIndex, inForce.RelayCount
	kept.Zone, kept.Tick = inForce.Zone, inForce.Tick
	kept.ZoneNames, kept.KindNames = inForce.ZoneNames, inForce.KindNames
	kept.ReportFieldNames, kept.ReportFields = inForce.ReportFieldNames, inForce.ReportFields
	kept.Tenants, kept.TenantNames = inForce.Tenants, inForce.TenantNames
	kept.Groups, kept.PassThrough = inForce.Groups, inForce.PassThrough
	kept.ReportsConnectionLoad, kept.ReportsMessageDelay = inForce.ReportsConnectionLoad, inForce.ReportsMessageDelay
	kept.Gossip, kept.PollEndpoints, kept.Weights = inForce.Gossip, inForce.PollEndpoints, inForce.Weights
	return kept
}
