package daemon

// tenantsCommand shows operators what tenants use of their limits, and what waits or was refused.
func tenantsCommand(get func(path string) verb) *command {
	return verbs(
		"tenants",
		"[-at LIST]",
		"list the tenants: limit, what is lent and used, what waits, and what was beyond its weight",
		map[string]verb{"": get("/v1/tenants")},
	)
}
