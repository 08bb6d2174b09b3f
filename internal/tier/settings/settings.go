// Package settings reads and checks the settings file of a process of the serving tier (TOML, named by the
// environment variable PULLEYGW_SETTINGS). Keys that are not known are ignored.
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

// Offsets of the inner listeners within the machine's range of ports, which is the same on all machines.
const (
	CoordinatorPortOffset = iota
	TurnStorePortOffset
	AgentPortOffset
	portsNeeded
)

// Settings of one process. Times of Bounds are milliseconds or seconds as their names say.
type Settings struct {
	NodeName        string            `toml:"nodeName"`
	Role            string            `toml:"role"`
	MachineClass    string            `toml:"machineClass"`
	Serves          []string          `toml:"serves"`
	IP              string            `toml:"ip"`
	Zone            string            `toml:"zone"`
	Region          string            `toml:"region"`
	EphemeralPorts  []int             `toml:"ephemeralPorts"`
	Seeds           []string          `toml:"seeds"`
	Bootstrap       bool              `toml:"bootstrap"`
	CountsForQuorum bool              `toml:"countsForQuorum"`
	DataDir         string            `toml:"dataDir"`
	HeartbeatMs     int               `toml:"heartbeatMs"`
	Metrics         string            `toml:"metrics"` // PORT/PATH; empty where they are not told
	Contracts       []string          `toml:"contracts"`
	Zones           map[string]string `toml:"zones"` // zone to region
	Listen          Listen            `toml:"listen"`
	Limits          Limits            `toml:"limits"`
	FaultTolerance  FaultTolerance    `toml:"faultTolerance"`
	Bounds          Bounds            `toml:"bounds"`
}

// Listen holds the addresses (ip:port) of what the role serves; those it does not serve are empty.
type Listen struct {
	Front     string `toml:"front"`
	Readiness string `toml:"readiness"`
	Control   string `toml:"control"`
}

// Limits of the machine.
type Limits struct {
	CPUShare float64 `toml:"cpuShare"`
	Cores    int     `toml:"cores"`
	MemoryMb int     `toml:"memoryMb"`
	MaxFds   int     `toml:"maxFds"`
	LinkMbps float64 `toml:"linkMbps"`
	DiskMb   int     `toml:"diskMb"`
}

// FaultTolerance is what may be lost at once without a rule broken.
type FaultTolerance struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// MemberFailures is how many members of a set that is spread over zones and regions may be lost at once.
func (f FaultTolerance) MemberFailures() int { return max(f.Machines, f.Zones, f.Regions) }

// Bounds are the times that the rules speak of.
type Bounds struct {
	SeedLagS        float64 `toml:"seedLagS"`
	ReuseAfterS     float64 `toml:"reuseAfterS"`
	ContactMs       float64 `toml:"contactMs"`
	AckMs           float64 `toml:"ackMs"`
	CatchUpS        float64 `toml:"catchUpS"`
	DrainMs         float64 `toml:"drainMs"`
	GraceS          float64 `toml:"graceS"`
	LossSlackMs     float64 `toml:"lossSlackMs"`
	ConfigMs        float64 `toml:"configMs"`
	RollbackSlackMs float64 `toml:"rollbackSlackMs"`
	OuterMs         float64 `toml:"outerMs"`
	RecoverS        float64 `toml:"recoverS"`
	PassMs          float64 `toml:"pass_ms"`
	AgainS          float64 `toml:"again_s"`
	FinishS         float64 `toml:"finishS"`
	SettleMs        float64 `toml:"settleMs"`
}

// Path is the settings file's path from the environment.
func Path() string {
	if path := os.Getenv(EnvironmentVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return Parse(text)
}

// Parse reads and checks the text of a settings file; an error names the key.
func Parse(text []byte) (*Settings, error) {
	parsed := &Settings{}
	if err := toml.Unmarshal(text, parsed); err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	if err := parsed.check(); err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return parsed, nil
}

func (s *Settings) check() error {
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
	return s.checkListen()
}

func (s *Settings) checkListen() error {
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

// InternalAddress is the inner listener of a role on the machine with this IP address.
func (s *Settings) InternalAddress(ip string, offset int) string {
	return fmt.Sprintf("%s:%d", ip, s.EphemeralPorts[0]+offset)
}

// UsesPort says whether a port is among those that the machine is given for its roles.
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

// loopback is where the processes of one machine reach each other.
const loopback = "127.0.0.1"

// AgentAddress is where the machine's own processes reach its agent: at loopback, or, where the machine's own address is
// a loopback address already and others may share this host, at that one.
func (s *Settings) AgentAddress() string {
	if own, err := netip.ParseAddr(s.IP); err == nil && own.IsLoopback() {
		return s.InternalAddress(s.IP, AgentPortOffset)
	}
	return s.InternalAddress(loopback, AgentPortOffset)
}

// FailureDomain is the part of the deployment that may be lost as a whole and that a zone belongs to: the zone itself, its
// region where regions may be lost, or nothing where only machines may.
func (s *Settings) FailureDomain(zone string) string {
	switch {
	case s.FaultTolerance.Regions > 0:
		return s.Zones[zone]
	case s.FaultTolerance.Zones > 0:
		return zone
	}
	return ""
}

// SeedCoordinators are the inner addresses of the coordinators that the seeds name.
func (s *Settings) SeedCoordinators() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		if parsed, err := netip.ParseAddrPort(seed); err == nil {
			addresses = append(addresses, s.InternalAddress(parsed.Addr().String(), CoordinatorPortOffset))
		}
	}
	return addresses
}

// Milliseconds turns a bound in milliseconds into a duration, with a default where it is not set.
func Milliseconds(bound float64, byDefault time.Duration) time.Duration {
	if bound <= 0 {
		return byDefault
	}
	return time.Duration(bound * float64(time.Millisecond))
}

// Seconds turns a bound in seconds into a duration, with a default where it is not set.
func Seconds(bound float64, byDefault time.Duration) time.Duration {
	return Milliseconds(bound*1000, byDefault)
}
