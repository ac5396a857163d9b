package settings

import (
	"reflect"
	"slices"

	"aspenbarrow/balance"
)

// MaxClasses bounds the classes of one process, dropped and changed ones included.
const MaxClasses = 1 << 10

// SameRestartOnly reports whether new settings differ from those in force only in values that a reload can change.
func SameRestartOnly(updated, inForce *Settings) bool {
	return reflect.DeepEqual(*updated, keepRestartOnly(updated, inForce))
}

// Merge merges new settings into those in force. It returns the merged settings, the names of all classes by their numbers,
// and the number of each class of the new settings. A number always identifies the same rules: an unchanged class keeps its
// number, a dropped one keeps it for the requests that were accepted with it, and a changed one gets a new number. Merge
// fails if there are more than MaxClasses classes.
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

// unchangedClass returns the number of a known class with the same name and rules to which no class of the new settings is
// assigned yet, -1 if there is none. If there are several, it returns the newest.
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

// keepRestartOnly returns new settings in which every value that changes only at a restart is the one in force: the relay's
// index and zone, the number of relays, the tick, the tenants, the names and formats by which endpoint lists, load reports
// and protocol lines are parsed, what the weights in endpoint lists mean, and whether connections have groups, packets are
// passed through, relays exchange datagrams and endpoint lists are polled.
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
