package command

import (
	"pulleygw.example/pulleygw/internal/tier/agent"
	"pulleygw.example/pulleygw/internal/tier/coordinator"
	"pulleygw.example/pulleygw/internal/tier/proxy"
	"pulleygw.example/pulleygw/internal/tier/turnstore"
)

// roles lists the roles that a process can run. deploy/system.toml assigns them to machines.
var roles = []Role{
	{Name: "proxy", Help: "Take clients' requests and send them to stores.", Run: proxy.Run},
	{Name: "agent", Help: "Keep the link to the coordinators and feed the proxy beside it.", Run: agent.Run},
	{Name: "coordinator", Help: "Keep the configuration and the list of stores; serve the control API.", Run: coordinator.Run},
	{Name: "turn-store", Help: "Keep turns and the budgets of programs.", Run: turnstore.Run},
}
