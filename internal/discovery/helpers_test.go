package discovery

import (
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// testSettings have two zones and one kind of backend.
var testSettings = &settings.Settings{ClassNames: []string{"chat", "order"}, TenantNames: []string{"acme", "bolt"},
	ZoneNames: []string{"east", "west"}, KindNames: []string{"k"}, ReportFieldNames: []string{"utilization", "x0"},
	Settings: balance.Settings{PassThrough: true, Classes: []balance.Class{{ClientTimeout: 2 * time.Second}, {}}}}
