package healthcheck

import (
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// goldenSettings are the settings of the golden file.
var goldenSettings = &settings.Settings{ClassNames: []string{"chat", "order"}, TenantNames: []string{"acme", "bolt"},
	ZoneNames: []string{"east", "west"}, KindNames: []string{"k"}, ReportFieldNames: []string{"utilization", "x0"},
	Settings: balance.Settings{PassThrough: true, Classes: []balance.Class{{ClientTimeout: 2 * time.Second}, {}}}}

var goldenStatuses = map[balance.Status]string{balance.StatusOK: "ok", balance.StatusError: "error", balance.StatusOverloaded: "full", balance.StatusTimeout: "timeout",
	balance.StatusConnectFailed: "connect failed", balance.StatusReset: "reset", balance.StatusCancelled: "cancelled", balance.StatusAbandoned: "moot"}
