package main

// class is a request class in the settings.
type class struct {
	name, effect, scope     string
	onTime, giveUp, windows float64 // milliseconds
	worth                   float64
}

// object returns the class as the platform writes it.
func (c class) object() object {
	if c.scope == "" {
		c.scope = "all"
	}
	if c.windows == 0 {
		c.windows = 5000
	}
	return object{"dedup-scope": c.scope, "dedup-window-ms": c.windows, "effect": c.effect, "give-up-ms": c.giveUp,
		"late-value": 0.0, "name": c.name, "on-time-ms": c.onTime, "stream": true, "worth": c.worth}
}

// defaultClasses are the classes of kyushu-signing with their times, all safe to repeat.
func defaultClasses() []class {
	return []class{
		{name: "status-watch", effect: "read_like", onTime: 800, giveUp: 3200, worth: 1},
		{name: "image-submit", effect: "read_like", onTime: 500, giveUp: 2000, worth: 3},
		{name: "sig-fetch", effect: "read_like", onTime: 300, giveUp: 1800, worth: 2},
	}
}

// smallSettings are the settings of kyushu-signing as the wire page shows them, without datagrams: packets pass through the relay, lists
// are pushed, and probes are allowed.
func smallSettings(classes []class) object {
	var classObjects []object
	var aims []float64
	for _, c := range classes {
		classObjects = append(classObjects, c.object())
		aims = append(aims, 60)
	}
	return object{
		"azs": []string{"a", "b"}, "kinds": []string{"mid-2c"}, "classes": classObjects, "clients": object{"marks-retry": true},
		"customers": []object{}, "family": "conn",
		"family-info": object{"groups": true, "hint": "", "message-aim-ms": aims, "mode": "pass", "notes": "", "park-ms": 4493.914,
			"report-x0": "", "report-x1": "", "tells-delay": true, "tells-load": false, "tenant-quota-connections": []float64{}},
		"goal":   object{"whole": 0.5, "worst-class": 0.4, "worst-tenant": 0.0, "worst-window": 0.1},
		"layers": []string{"front"},
		"limits": object{"cancelling": true, "cpu-us-per-request": 0.0, "cpu-us-per-s": 800000, "dial-timeout-ms": 250.0,
			"idle-close-ms": 5000.0, "max-open": 1000000, "max-retry-after-ms": 1500.0, "peers": false, "probes": true,
			"retry-after": true, "second-copies": false, "streams-per-conn": 1048576, "try-limit": 4},
		"me": 0, "n-instances": 2, "over-share-worth": 0.1,
		"prices":        object{"connection": 0.0, "cross-zone": 0.01, "handshake": 0.02, "late-fail": 0.029, "moves": 0.019, "waste": 0.02},
		"registry-mode": "pushed",
		"rules": object{"answer-slack-ms": 16.0, "ask-every-ms": 10000.0, "cold-from": 0.31, "fall-ms": 3000.0, "fall-multiple": 2.5,
			"stop-sending-within-ms": 250.0, "warm-up-ms": 8900.0},
		"stats":   object{"fields": []string{"utilization", "errors_per_s", "x0"}, "how": "on_probe"},
		"tick-ms": 4.0, "tier": 0, "weights": "nominal", "worth-by": "request", "zone": 0,
	}
}

// smallConfig returns the configuration of a relay with free addresses.
func (w *world) smallConfig(name, discovery string, classes []class, known list) (*relayConfig, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	management, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return &relayConfig{name: name, listen: listen, discovery: discovery, management: management, known: known,
		settings: smallSettings(classes)}, nil
}
