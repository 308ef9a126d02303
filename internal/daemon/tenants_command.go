package daemon

// tenantsCommand returns the command that lists the tenants' limits, use and waiting work.
func tenantsCommand(get func(path string) actionFunc) *command {
	return actionCommand(
		"tenants",
		"[-at LIST]",
		"list the tenants: limit, resources lent and used, waiting work, and jobs beyond their weight",
		map[string]actionFunc{"": get("/v1/tenants")},
	)
}
