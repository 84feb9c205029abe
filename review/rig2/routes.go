package rig2

// Route is a route of the operator's configuration.
type Route struct {
	Host, Prefix, Kind, Service string
	Timeout                     string
	MaxAttempts                 int
	Priority                    int
	Public                      bool
}

// Configuration returns a configuration of the operator.
func Configuration(version int, routes []Route, services ...string) map[string]any {
	var listeners, clusters []any
	for _, r := range routes {
		attempts := r.MaxAttempts
		if attempts == 0 {
			attempts = 2
		}
		timeout := r.Timeout
		if timeout == "" {
			timeout = "5000ms"
		}
		listeners = append(listeners, map[string]any{"hostname": r.Host, "rules": []any{map[string]any{
			"name": "r-" + r.Host, "kind": r.Kind, "targetLatency": "1500ms", "priority": r.Priority, "public": r.Public, "match": map[string]any{"pathPrefix": r.Prefix},
			"action": map[string]any{"service": r.Service, "timeout": timeout, "maxAttempts": attempts},
		}}})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 316})
	}
	return map[string]any{
		"version": version, "listeners": listeners, "clusters": clusters,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
}

// Team is a tenant of the operator's configuration, without a limit.
type Team struct{ Name, Key string }

// WithTeams adds tenants to a configuration.
func WithTeams(c map[string]any, teams ...Team) map[string]any {
	var tenants []any
	for _, t := range teams {
		tenants = append(tenants, map[string]any{"name": t.Name, "apiKeys": []string{t.Key}, "priority": 0})
	}
	c["tenants"] = tenants
	return c
}
