// This file owns how settings that a reload brings become those in force: which of them
// a running relay takes, and which number a class has. It must never change settings that
// anything was taken under, nor give a number to another class.

package machine

import (
	"fmt"
	"reflect"
	"slices"

	"aspenbarrow/internal/settings"
)

// mostClasses bounds the classes of one process, dropped and changed ones included.
const mostClasses = 1 << 10

// lasting has those settings that a relay is born with and that wait for a restart take
// their value from the ones in force: its place among the relays, the names and forms by which
// lists, reports and lines are read, and what it does with packets.
func lasting(s, was *settings.Settings) settings.Settings {
	o := *s
	o.RelayIndex, o.RelayCount, o.Zone, o.Tick = was.RelayIndex, was.RelayCount, was.Zone, was.Tick
	o.ZoneNames, o.KindNames, o.ReportFieldNames, o.ReportFields = was.ZoneNames, was.KindNames, was.ReportFieldNames, was.ReportFields
	o.Tenants, o.TenantNames = was.Tenants, was.TenantNames
	o.Groups, o.PassThrough, o.ReportsConnectionLoad, o.ReportsMessageDelay = was.Groups, was.PassThrough, was.ReportsConnectionLoad, was.ReportsMessageDelay
	o.Gossip, o.PollEndpoints, o.Weights = was.Gossip, was.PollEndpoints, was.Weights
	return o
}

// sameLasting says whether nothing waits for a restart.
func sameLasting(s, was *settings.Settings) bool {
	return reflect.DeepEqual(*s, lasting(s, was))
}

// merged is what new settings come to beside those in force: the settings, the names of all
// classes by their numbers, and the number of each class of the new settings. A class that
// is as it was keeps its number, a dropped one keeps it for those who came under it, and one
// that has changed is another: so a number says for good by which rules a request goes.
func (n *Node) merged(s settings.Settings) (out settings.Settings, names []string, numbers []int, err error) {
	out = lasting(&s, n.set)
	out.Classes, names = slices.Clone(n.set.Classes), slices.Clone(n.names)
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
	if len(names) > mostClasses {
		err = fmt.Errorf("%d classes since the start, dropped and changed ones included, over %d: restart the relay", len(names), mostClasses)
	}
	return out, names, numbers, err
}
