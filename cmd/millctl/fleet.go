package main

import (
	"fmt"
	"strings"

	"amaranthmill/administrator"
)

func fleetCommands(a *app) []command {
	return []command{
		{"groups", "show the replica groups", "Shows the replica groups, their members and whether they serve.", &groupsCommand{app: a}},
		{"instances", "show the instances", "Shows the entry instances, and the engines and plain services.", &instancesCommand{app: a}},
		{"explain", "explain a request from log files, or where one would go now", "With REQUEST and LOG it finds in log files of instances the lines of one request and those on what it depended on, by time, and says in words what became of it; it calls no instance. With --host and --path it asks every instance that --address names where such a request would go now, and why; nothing is sent or changed. It lists what instances know differently. --address is then the address at which an instance answers its peers (listen.peers in its settings). No token is needed.", &explainCommand{app: a}},
		{"audit", "read and verify the audit trail", "Prints the audit trail. With --verify it reads the whole trail, checks its chain of hashes and prints an anchor to be kept elsewhere; --anchor checks against one that was kept.", &auditCommand{app: a}},
	}
}

// groupsCommand shows the replica groups.
type groupsCommand struct{ app *app }

// Execute runs the command.
func (c *groupsCommand) Execute([]string) error {
	call := func(client *administrator.Client) (administrator.GroupList, error) { return client.Groups(c.app.ctx) }
	return callAndShow(c.app, call, c.app.printGroups)
}

// groupState describes whether a group is ready, as reported by the queried instance.
func groupState(g administrator.GroupStatus) string {
	switch {
	case g.Ready:
		return "ready"
	case g.Remote:
		return fmt.Sprintf("not probed from here; ask an instance in %s", g.FailureDomain)
	default:
		return "not ready: " + g.Reason
	}
}

func (a *app) printGroups(groups administrator.GroupList) {
	var rows []string
	for _, g := range groups.Groups {
		members := make([]string, len(g.Members))
		for i, m := range g.Members {
			members[i] = string(m)
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s", g.Group, g.Pool, g.FailureDomain, g.FabricDomain, g.Epoch, g.BundleVersion, strings.Join(members, ","), groupState(g)))
	}
	a.table("GROUP\tPOOL\tFAILURE DOMAIN\tFABRIC DOMAIN\tEPOCH\tVERSION\tMEMBERS\tSTATE", rows)
}

// instancesCommand shows the entry instances and the endpoints.
type instancesCommand struct{ app *app }

// Execute runs the command.
func (c *instancesCommand) Execute([]string) error {
	call := func(client *administrator.Client) (administrator.FleetStatus, error) {
		return client.FleetStatus(c.app.ctx)
	}
	return callAndShow(c.app, call, c.app.printFleet)
}

func (a *app) printFleet(status administrator.FleetStatus) {
	a.printInstances(status.Instances)
	var rows []string
	for _, e := range status.Endpoints {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d of %d", e.Endpoint, e.Kind, e.FailureDomain, e.FabricDomain, e.Address, e.State, e.Group, e.InFlight, e.Capacity))
	}
	a.printf("\n")
	a.table("ENDPOINT\tKIND\tFAILURE DOMAIN\tFABRIC DOMAIN\tADDRESS\tSTATE\tGROUP\tIN FLIGHT", rows)
}
