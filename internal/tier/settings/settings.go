// Package settings reads and validates the settings file of a process of the serving tier (TOML). The environment
// variable PULLEYGW_SETTINGS names the file; without it the file is /etc/pulleygw/node.toml. Unknown keys are ignored, so
// that older versions can read a file written for a newer one. Live reloads a file that changes while the process runs.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Location of the settings file: the value of the environment variable, or else the default path.
const (
	EnvironmentVariable = "PULLEYGW_SETTINGS"
	DefaultPath         = "/etc/pulleygw/node.toml"
)

// Offsets of the ports of the internal listeners from the first of EphemeralPorts. That range is the same on all machines.
const (
	CoordinatorPortOffset = iota
	TurnStorePortOffset
	AgentPortOffset
	minInternalPorts // number of offsets above
)

// Settings are the settings of one process. A field named after a unit (Ms, S, Mb, Mbps) has that unit.
type Settings struct {
	// NodeName is the unique name of the machine, used in requests of operators. Required.
	NodeName string `toml:"nodeName"`
	// Role is the role that the owner assigned to the machine; not used, as the command line selects the role.
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
	// Seeds are addresses (ip:port) of machines that run coordinators; a starting process contacts them to join. Only the
	// IP address is used, as coordinators listen on the first of EphemeralPorts.
	Seeds []string `toml:"seeds"`
	// Bootstrap says whether coordinators with empty disks may form a new cluster from the seeds. Default false: they wait
	// to be added to an existing cluster.
	Bootstrap bool `toml:"bootstrap"`
	// CountsForQuorum says whether a failure of the machine counts towards FaultTolerance; not used by the roles.
	CountsForQuorum bool `toml:"countsForQuorum"`
	// DataDir is the directory for durable state. Required for coordinators and turn stores; other roles write no files.
	DataDir string `toml:"dataDir"`
	// HeartbeatMs is the interval between heartbeats of a store instance. 0, the default, means 1000.
	HeartbeatMs int `toml:"heartbeatMs"`
	// Metrics is the port and path at which metrics are served, as PORT/PATH. Empty, the default, disables them. The flag
	// --metrics takes precedence.
	Metrics string `toml:"metrics"`
	// Contracts lists the interface versions that the owner of the machine agreed to; not used by the roles.
	Contracts []string `toml:"contracts"`
	// Zones maps each zone of the deployment to its region.
	Zones map[string]string `toml:"zones"`
	// Listen holds the addresses of the external listeners.
	Listen Listen `toml:"listen"`
	// Limits are the resource limits of the process.
	Limits Limits `toml:"limits"`
	// FaultTolerance is how many concurrent failures the deployment must survive.
	FaultTolerance FaultTolerance `toml:"faultTolerance"`
	// Bounds are the time limits that the deployment must meet.
	Bounds Bounds `toml:"bounds"`
}

// Listen holds the addresses (ip:port) of the external listeners. The address of a listener that the machine does not have
// is empty.
type Listen struct {
	// Front is the address at which the proxy serves clients.
	Front string `toml:"front"`
	// Readiness is the address at which the proxy serves GET /v1/readyz for load balancers.
	Readiness string `toml:"readiness"`
	// Control is the address at which the coordinator serves the control API.
	Control string `toml:"control"`
}

// Limits are the resource limits of the process.
type Limits struct {
	// CPUShare is the share of a processor core; not used, as it is enforced outside the process.
	CPUShare float64 `toml:"cpuShare"`
	// Cores is the number of processor cores; not used, as it is enforced outside the process.
	Cores int `toml:"cores"`
	// MemoryMb is the memory limit in MiB. The memory limit of the Go runtime and the sizes of all caches are fractions of
	// it. 0, the default, leaves the runtime without a limit; turn stores then assume 256 MiB.
	MemoryMb int `toml:"memoryMb"`
	// MaxFds is the limit of open file descriptors; not used, as it is enforced outside the process.
	MaxFds int `toml:"maxFds"`
	// LinkMbps is the bandwidth of the machine's network link in Mbit/s; not used, as it is enforced outside the process.
	LinkMbps float64 `toml:"linkMbps"`
	// DiskMb is the disk space in MiB that a turn store may use. 0, the default, means 256.
	DiskMb int `toml:"diskMb"`
}

// FaultTolerance is how many machines, zones and regions may fail at once while the deployment keeps its guarantees. 0, the
// default, means that no failure of that kind is tolerated.
type FaultTolerance struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// MemberFailures returns how many members of a replica set may fail at once if the set is spread over zones and regions.
func (f FaultTolerance) MemberFailures() int { return max(f.Machines, f.Zones, f.Regions) }

// Bounds are the time limits that the deployment must meet. The roles use CatchUpS and GraceS only; tests read the deadlines
// that they check from some of the others. The rest are read by others that share the file.
type Bounds struct {
	// CatchUpS is how long a new or restarted member may take to catch up; until then it counts as failed. 0, the default,
	// means that no bound is set; the placement then uses its own timeouts.
	CatchUpS float64 `toml:"catchUpS"`
	// GraceS is the grace period of a shutdown, from SIGTERM until the process must have exited. 0, the default, means 8.
	GraceS float64 `toml:"graceS"`

	// AckMs bounds the time until the control API answers a change.
	AckMs float64 `toml:"ackMs"`
	// ConfigMs bounds the time from the acknowledgement of a configuration until every proxy applies it.
	ConfigMs float64 `toml:"configMs"`
	// DrainMs bounds the time from the acknowledgement of a drain until the store receives no new requests.
	DrainMs float64 `toml:"drainMs"`
	// RecoverS bounds the time until all routes are served again after all processes were killed.
	RecoverS float64 `toml:"recoverS"`

	// The bounds below are not used in this repository.

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

// Path returns the path of the settings file: the value of the environment variable, or the default.
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

// Parse parses and validates the text of a settings file. An error names the invalid key.
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
	if first < 1 || last > 65535 || last-first+1 < minInternalPorts {
		return eris.Errorf("ephemeralPorts %d to %d: want %d ports or more within 1 to 65535", first, last, minInternalPorts)
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

// InternalAddress returns the address (ip:port) of the internal listener of a role on the machine with the given IP address.
// offset selects the role: CoordinatorPortOffset, TurnStorePortOffset or AgentPortOffset.
func (s *Settings) InternalAddress(ip string, offset int) string {
	return fmt.Sprintf("%s:%d", ip, s.EphemeralPorts[0]+offset)
}

// UsesPort reports whether a port is reserved for a listener of the machine's roles, internal or external.
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

// loopbackIP is the address that the processes of one machine use to connect to each other.
const loopbackIP = "127.0.0.1"

// AgentAddress returns the address at which processes of this machine connect to its agent: on 127.0.0.1, or on IP if that
// is itself a loopback address. Several machines, each with a loopback address of its own, then share one host.
func (s *Settings) AgentAddress() string {
	if own, err := netip.ParseAddr(s.IP); err == nil && own.IsLoopback() {
		return s.InternalAddress(s.IP, AgentPortOffset)
	}
	return s.InternalAddress(loopbackIP, AgentPortOffset)
}

// FailureDomain returns the largest unit around a zone that FaultTolerance expects to fail as a whole: the region of the
// zone, the zone itself, or the empty string if only single machines are expected to fail.
func (s *Settings) FailureDomain(zone string) string {
	switch {
	case s.FaultTolerance.Regions > 0:
		return s.Zones[zone]
	case s.FaultTolerance.Zones > 0:
		return zone
	}
	return ""
}

// SeedCoordinators returns the internal addresses of the coordinators on the seed machines.
func (s *Settings) SeedCoordinators() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		if parsed, err := netip.ParseAddrPort(seed); err == nil {
			addresses = append(addresses, s.InternalAddress(parsed.Addr().String(), CoordinatorPortOffset))
		}
	}
	return addresses
}

// Milliseconds converts a bound in milliseconds to a duration. It returns the fallback if the bound is 0 or negative.
func Milliseconds(bound float64, fallback time.Duration) time.Duration {
	if bound <= 0 {
		return fallback
	}
	return time.Duration(bound * float64(time.Millisecond))
}

// Seconds converts a bound in seconds to a duration. It returns the fallback if the bound is 0 or negative.
func Seconds(bound float64, fallback time.Duration) time.Duration {
	return Milliseconds(bound*1000, fallback)
}
