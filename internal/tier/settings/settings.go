// Package settings reads and validates the settings file of a process of the serving tier (TOML). The environment
// variable PULLEYGW_SETTINGS names the file; without it the file is /etc/pulleygw/node.toml. Unknown keys are ignored, so
// that a file may be shared with newer versions. Live re-reads a file that changed while the process runs.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Where the settings file is found.
const (
	EnvironmentVariable = "PULLEYGW_SETTINGS"
	DefaultPath         = "/etc/pulleygw/node.toml"
)

// Offsets of the internal listeners within the machine's port range, which is the same on all machines.
const (
	CoordinatorPortOffset = iota
	TurnStorePortOffset
	AgentPortOffset
	portsNeeded
)

// Settings are the settings of one process. A field named after a unit (Ms, S, Mb, Mbps) has that unit.
type Settings struct {
	// NodeName is the machine's unique name, by which operators address it. Required.
	NodeName string `toml:"nodeName"`
	// Role is the role that the machine's owner gave it; not used, as the command line selects the role.
	Role string `toml:"role"`
	// MachineClass is the class of the machine; not used by the roles.
	MachineClass string `toml:"machineClass"`
	// Serves lists what the machine serves; not used by the roles.
	Serves []string `toml:"serves"`
	// IP is the machine's address, which all roles listen on and other machines connect to. Required.
	IP string `toml:"ip"`
	// Zone is the failure domain that the machine is in.
	Zone string `toml:"zone"`
	// Region is the region of the zone; not used, as Zones maps every zone to its region.
	Region string `toml:"region"`
	// EphemeralPorts is the first and the last port that the roles may listen on internally; at least 3 ports. Required.
	EphemeralPorts []int `toml:"ephemeralPorts"`
	// Seeds are addresses (ip:port) of machines with coordinators, by which a process finds the others at its start.
	Seeds []string `toml:"seeds"`
	// Bootstrap says whether coordinators with empty disks may form a new cluster from the seeds. Default false: they wait
	// to be added to a running one.
	Bootstrap bool `toml:"bootstrap"`
	// CountsForQuorum says whether the machine counts as one that FaultTolerance is about; not used by the roles.
	CountsForQuorum bool `toml:"countsForQuorum"`
	// DataDir is the folder for durable state. Required for coordinators and turn stores; other roles write no files.
	DataDir string `toml:"dataDir"`
	// HeartbeatMs is the period of the instances' heartbeats. 0, the default, means 1000.
	HeartbeatMs int `toml:"heartbeatMs"`
	// Metrics is where metrics are served, as PORT/PATH. Empty, the default, means that they are not served. The flag
	// --metrics takes precedence.
	Metrics string `toml:"metrics"`
	// Contracts lists interface versions that the machine's owner agreed to; not used by the roles.
	Contracts []string `toml:"contracts"`
	// Zones maps each zone of the deployment to its region.
	Zones map[string]string `toml:"zones"`
	// Listen holds the addresses of the external listeners.
	Listen Listen `toml:"listen"`
	// Limits are the resources of the process.
	Limits Limits `toml:"limits"`
	// FaultTolerance is how many failures at once the deployment must survive.
	FaultTolerance FaultTolerance `toml:"faultTolerance"`
	// Bounds are the times that the deployment's rules set.
	Bounds Bounds `toml:"bounds"`
}

// Listen holds the addresses (ip:port) of the external listeners. Those of other roles are empty.
type Listen struct {
	// Front is where the proxy serves clients.
	Front string `toml:"front"`
	// Readiness is where the proxy serves GET /v1/readyz for load balancers.
	Readiness string `toml:"readiness"`
	// Control is where the coordinator serves the control API.
	Control string `toml:"control"`
}

// Limits are the resources that the process may use.
type Limits struct {
	// CPUShare is the share of a processor core; not used, as it is enforced from outside.
	CPUShare float64 `toml:"cpuShare"`
	// Cores is the number of processor cores; not used, as it is enforced from outside.
	Cores int `toml:"cores"`
	// MemoryMb is the memory limit in MiB. The Go runtime's limit and all caches are shares of it. 0, the default, leaves
	// the runtime's limit off; turn stores then assume 256 MiB.
	MemoryMb int `toml:"memoryMb"`
	// MaxFds is the limit of open file descriptors; not used, as it is enforced from outside.
	MaxFds int `toml:"maxFds"`
	// LinkMbps is the bandwidth of the machine's link in Mbit/s; not used, as it is enforced from outside.
	LinkMbps float64 `toml:"linkMbps"`
	// DiskMb is the disk space in MiB that a turn store may use. 0, the default, means 256.
	DiskMb int `toml:"diskMb"`
}

// FaultTolerance is how many machines, zones and regions may fail at once without a rule being broken. 0, the default,
// means none of that kind.
type FaultTolerance struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// MemberFailures is how many members may fail at once of a set whose members are spread over zones and regions.
func (f FaultTolerance) MemberFailures() int { return max(f.Machines, f.Zones, f.Regions) }

// Bounds are the times that the rules of the deployment set. The roles use CatchUpS and GraceS only; the others are read
// so that one file serves all parties, and the tests take their limits from some of them.
type Bounds struct {
	// CatchUpS is how long a new or restarted member may take to catch up; until then it counts as failed. 0, the default,
	// means that no bound is known, and the placement uses its own time-outs.
	CatchUpS float64 `toml:"catchUpS"`
	// GraceS is the grace period of a shutdown, from SIGTERM until the process must have ended. 0, the default, means 8.
	GraceS float64 `toml:"graceS"`

	// AckMs bounds the time until the control API answers a change.
	AckMs float64 `toml:"ackMs"`
	// ConfigMs bounds the time from the acknowledgement of a configuration until every proxy applies it.
	ConfigMs float64 `toml:"configMs"`
	// DrainMs bounds the time from the acknowledgement of a drain until the store gets no more requests.
	DrainMs float64 `toml:"drainMs"`
	// RecoverS bounds the time until all routes are served again after all processes were killed.
	RecoverS float64 `toml:"recoverS"`

	// Bounds that nothing in this repository uses.

	SeedLagS        float64 `toml:"seedLagS"`
	ReuseAfterS     float64 `toml:"reuseAfterS"`
	ContactMs       float64 `toml:"contactMs"`
	LossSlackMs     float64 `toml:"lossSlackMs"`
	RollbackSlackMs float64 `toml:"rollbackSlackMs"`
	OuterMs         float64 `toml:"outerMs"`
	PassMs          float64 `toml:"pass_ms"`
	AgainS          float64 `toml:"again_s"`
	FinishS         float64 `toml:"finishS"`
	SettleMs        float64 `toml:"settleMs"`
}

// Path is the path of the settings file: that of the environment variable, or the default.
func Path() string {
	if path := os.Getenv(EnvironmentVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return Parse(text)
}

// Parse parses and validates the text of a settings file. An error names the key at fault.
func Parse(text []byte) (*Settings, error) {
	parsed := &Settings{}
	if err := toml.Unmarshal(text, parsed); err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	if err := parsed.validate(); err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return parsed, nil
}

func (s *Settings) validate() error {
	if s.NodeName == "" {
		return eris.New("nodeName is empty")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		return eris.Errorf("ip %q is not an IP address", s.IP)
	}
	if len(s.EphemeralPorts) != 2 {
		return eris.Errorf("ephemeralPorts has %d entries, want the first and the last port", len(s.EphemeralPorts))
	}
	first, last := s.EphemeralPorts[0], s.EphemeralPorts[1]
	if first < 1 || last > 65535 || last-first+1 < portsNeeded {
		return eris.Errorf("ephemeralPorts %d to %d: want %d ports or more within 1 to 65535", first, last, portsNeeded)
	}
	for i, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return eris.Errorf("seeds[%d] %q is not ip:port", i, seed)
		}
	}
	if s.FaultTolerance.Machines < 0 || s.FaultTolerance.Zones < 0 || s.FaultTolerance.Regions < 0 {
		return eris.Errorf("faultTolerance %+v: want 0 or more", s.FaultTolerance)
	}
	if s.HeartbeatMs < 0 {
		return eris.Errorf("heartbeatMs is %d, want 0 or more", s.HeartbeatMs)
	}
	return s.validateListen()
}

func (s *Settings) validateListen() error {
	addresses := []struct{ key, value string }{
		{"front", s.Listen.Front}, {"readiness", s.Listen.Readiness}, {"control", s.Listen.Control},
	}
	for _, address := range addresses {
		if address.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return eris.Errorf("listen.%s %q is not ip:port", address.key, address.value)
		}
	}
	return nil
}

// InternalAddress is the address (ip:port) of a role's internal listener on the machine with this IP address; offset is one
// of the port offsets above.
func (s *Settings) InternalAddress(ip string, offset int) string {
	return fmt.Sprintf("%s:%d", ip, s.EphemeralPorts[0]+offset)
}

// UsesPort reports whether a port is reserved for the machine's roles.
func (s *Settings) UsesPort(port int) bool {
	if len(s.EphemeralPorts) == 2 && port >= s.EphemeralPorts[0] && port <= s.EphemeralPorts[1] {
		return true
	}
	for _, address := range []string{s.Listen.Front, s.Listen.Readiness, s.Listen.Control} {
		if used, err := netip.ParseAddrPort(address); err == nil && int(used.Port()) == port {
			return true
		}
	}
	return false
}

// loopback is the address by which the processes of one machine reach each other.
const loopback = "127.0.0.1"

// AgentAddress is the address by which processes of this machine reach its agent: on 127.0.0.1, or on the machine's own
// address if that is a loopback address, as several machines may then share this host.
func (s *Settings) AgentAddress() string {
	if own, err := netip.ParseAddr(s.IP); err == nil && own.IsLoopback() {
		return s.InternalAddress(s.IP, AgentPortOffset)
	}
	return s.InternalAddress(loopback, AgentPortOffset)
}

// FailureDomain is the part of the deployment that may fail as a whole and that a zone belongs to: its region if regions
// may fail, the zone itself if zones may, or the empty string if only single machines may.
func (s *Settings) FailureDomain(zone string) string {
	switch {
	case s.FaultTolerance.Regions > 0:
		return s.Zones[zone]
	case s.FaultTolerance.Zones > 0:
		return zone
	}
	return ""
}

// SeedCoordinators are the internal addresses of the coordinators that the seeds name.
func (s *Settings) SeedCoordinators() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		if parsed, err := netip.ParseAddrPort(seed); err == nil {
			addresses = append(addresses, s.InternalAddress(parsed.Addr().String(), CoordinatorPortOffset))
		}
	}
	return addresses
}

// Milliseconds converts a bound in milliseconds to a duration; 0 and below give the fallback.
func Milliseconds(bound float64, fallback time.Duration) time.Duration {
	if bound <= 0 {
		return fallback
	}
	return time.Duration(bound * float64(time.Millisecond))
}

// Seconds converts a bound in seconds to a duration; 0 and below give the fallback.
func Seconds(bound float64, fallback time.Duration) time.Duration {
	return Milliseconds(bound*1000, fallback)
}
