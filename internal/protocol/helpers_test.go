package protocol

import (
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// testSettings have two classes, and backends that report their load.
var testSettings = &settings.Settings{ClassNames: []string{"chat", "order"}, TenantNames: []string{"acme", "bolt"},
	ZoneNames: []string{"east", "west"}, KindNames: []string{"k"}, ReportFieldNames: []string{"utilization", "x0"},
	Settings: balance.Settings{PassThrough: true, Classes: []balance.Class{{ClientTimeout: 2 * time.Second}, {}}}}
