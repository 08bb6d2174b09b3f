package testbed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/settings"
)

// Classes of machines.
const (
	classEdge     = "edge"
	classCore     = "core"
	classAppStore = "app_server"
)

// Ports on every machine.
const (
	frontPort      = 7400
	readinessPort  = 7401
	controlPort    = 7402
	firstInnerPort = 7380
	lastInnerPort  = 7395
	storePort      = 7410
)

// Last octet of the first address of each class.
const (
	firstEdge  = 1
	firstCore  = 41
	firstStore = 81
	firstFake  = 121 // fake stores
)

// firstOf is the last octet of the first address of a class.
var firstOf = map[string]int{classEdge: firstEdge, classCore: firstCore, classAppStore: firstStore}

// seedCount is the number of coordinators that each machine knows from its settings.
const seedCount = 3

// Layout describes a tier on loopback addresses. Counts that are 0 leave a class out.
type Layout struct {
	Folder             string // for settings files and data
	Subnet             string // first three octets of the machines' addresses, such as 127.7.0
	Zones              []string
	Edges              int
	Coordinators       int
	TurnStores         int
	Spares             int // machines without data of each class with a disk; Start does not start them
	ToleratedFailures  int // machines that may be lost at the same time
	Launch             Launcher
	Log                io.Writer
	StoreResponseDelay time.Duration // StoreOptions.ResponseDelay of the fake stores
}

// Tier is a whole serving tier on loopback addresses.
type Tier struct {
	Edges        []*Machine
	Coordinators []*Machine
	TurnStores   []*Machine

	SpareCoordinators []*Machine // spares that were not started are not part of the tier
	SpareTurnStores   []*Machine

	layout Layout
	stores int
}

// NewTier creates all machines of a layout with their folders. None is started.
func NewTier(layout Layout) (*Tier, error) {
	tier := &Tier{layout: layout}
	for i := range layout.Coordinators {
		if err := tier.add(&tier.Coordinators, classCore, firstCore+i, RoleCoordinator); err != nil {
			return nil, err
		}
	}
	for i := range layout.TurnStores {
		if err := tier.add(&tier.TurnStores, classAppStore, firstStore+i, RoleTurnStore); err != nil {
			return nil, err
		}
	}
	for i := range layout.Spares {
		if err := tier.addSpares(i); err != nil {
			return nil, err
		}
	}
	for i := range layout.Edges {
		if err := tier.add(&tier.Edges, classEdge, firstEdge+i, RoleAgent, RoleProxy); err != nil {
			return nil, err
		}
	}
	return tier, nil
}

// addSpares adds a spare of each class with a disk.
func (t *Tier) addSpares(number int) error {
	if err := t.add(&t.SpareCoordinators, classCore, firstCore+t.layout.Coordinators+number, RoleCoordinator); err != nil {
		return err
	}
	if err := t.add(&t.SpareTurnStores, classAppStore, firstStore+t.layout.TurnStores+number, RoleTurnStore); err != nil {
		return err
	}
	for _, spare := range []*Machine{t.SpareCoordinators[number], t.SpareTurnStores[number]} {
		spare.Settings.Bootstrap = false
	}
	return nil
}

func (t *Tier) add(to *[]*Machine, class string, last int, roles ...string) error {
	configured := t.settings(class, last)
	machine, err := newMachine(t.layout.Folder, configured, t.layout.Launch, t.layout.Log, roles...)
	if err != nil {
		return err
	}
	*to = append(*to, machine)
	return nil
}

// AddTurnStore adds a turn store without data to a running tier and starts it.
func (t *Tier) AddTurnStore() (*Machine, error) {
	if err := t.add(&t.TurnStores, classAppStore, firstStore+len(t.TurnStores), RoleTurnStore); err != nil {
		return nil, err
	}
	added := t.TurnStores[len(t.TurnStores)-1]
	added.Settings.Bootstrap = false
	return added, added.Start()
}

func (t *Tier) settings(class string, last int) settings.Settings {
	ip := fmt.Sprintf("%s.%d", t.layout.Subnet, last)
	index := last - firstOf[class]
	zone := t.layout.Zones[index%len(t.layout.Zones)]
	configured := settings.Settings{
		NodeName: fmt.Sprintf("%s-%s-%d", class, zone, index+1), MachineClass: class, Serves: []string{class},
		IP: ip, Zone: zone, Region: "loopback", EphemeralPorts: []int{firstInnerPort, lastInnerPort},
		Seeds: t.seeds(), Bootstrap: true, CountsForQuorum: class != classEdge, HeartbeatMs: 400,
		Contracts: []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine"},
		Zones:     make(map[string]string),
		Limits:    settings.Limits{CPUShare: 1, Cores: 1, MemoryMb: 280, MaxFds: 4096, LinkMbps: 1000, DiskMb: 300},
		Bounds:    exampleBounds,
	}
	configured.FaultTolerance.Machines = t.layout.ToleratedFailures
	for _, name := range t.layout.Zones {
		configured.Zones[name] = "loopback"
	}
	switch class {
	case classEdge:
		configured.Listen.Front, configured.Listen.Readiness = endpoint(ip, frontPort), endpoint(ip, readinessPort)
		configured.Limits.DiskMb = 0
	case classCore:
		configured.Listen.Control = endpoint(ip, controlPort)
		configured.Serves = []string{"control_plane"}
	}
	return configured
}

// exampleBounds are the time bounds of the rules, in the units of their keys.
var exampleBounds = settings.Bounds{
	SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 8, LossSlackMs: 200,
	ConfigMs: 2000, RollbackSlackMs: 250, OuterMs: 5000, RecoverS: 12, PassMs: 120, AgainS: 0, FinishS: 10, SettleMs: 1000,
}

func (t *Tier) seeds() []string {
	return t.Controls()[:min(seedCount, t.layout.Coordinators)]
}

// Controls returns the control addresses of all coordinators, spares included.
func (t *Tier) Controls() []string {
	addresses := make([]string, t.layout.Coordinators+t.layout.Spares)
	for i := range addresses {
		addresses[i] = endpoint(fmt.Sprintf("%s.%d", t.layout.Subnet, firstCore+i), controlPort)
	}
	return addresses
}

// Fronts returns the front addresses of all edges.
func (t *Tier) Fronts() []string {
	addresses := make([]string, len(t.Edges))
	for i, edge := range t.Edges {
		addresses[i] = edge.Settings.Listen.Front
	}
	return addresses
}

// AddStore starts a fake store of a service at the next free address and returns when it is registered.
func (t *Tier) AddStore(ctx context.Context, service string, slots int) (*Store, error) {
	store, err := t.NewStore(service, slots)
	if err != nil {
		return nil, err
	}
	if err := store.Register(ctx); err != nil {
		store.Kill()
		return nil, eris.Wrapf(err, "registration of %s", store.ID())
	}
	return store, nil
}

// NewStore starts a fake store of a service at the next free address. It is not registered.
func (t *Tier) NewStore(service string, slots int) (*Store, error) {
	return t.NewStoreAt(endpoint(fmt.Sprintf("%s.%d", t.layout.Subnet, firstFake+t.stores+1), storePort), service, slots)
}

// NewStoreAt starts a fake store of a service at an address, which an earlier one may have had. It is not registered.
func (t *Tier) NewStoreAt(address, service string, slots int) (*Store, error) {
	t.stores++
	zone := t.layout.Zones[t.stores%len(t.layout.Zones)]
	return StartStore(StoreOptions{
		ID: fmt.Sprintf("i-%s-%d", service, t.stores), Backend: service, Zone: zone, Slots: slots, Address: address,
		Engine: service == EngineService, Registry: t.Controls, ResponseDelay: t.layout.StoreResponseDelay,
	})
}

// Machines returns all machines except the spares.
func (t *Tier) Machines() []*Machine {
	all := make([]*Machine, 0, len(t.Coordinators)+len(t.TurnStores)+len(t.Edges))
	all = append(all, t.Coordinators...)
	all = append(all, t.TurnStores...)
	return append(all, t.Edges...)
}

// Start starts every machine except the spares.
func (t *Tier) Start() error {
	for _, machine := range t.Machines() {
		if err := machine.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Kill kills all processes of the machines, one machine after the other.
func (t *Tier) Kill() {
	for _, machine := range t.Machines() {
		machine.Kill()
	}
}

// Ready returns nil if an edge accepts clients, by its readiness endpoint.
func (t *Tier) Ready(ctx context.Context, edge *Machine) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+edge.Settings.Listen.Readiness+"/v1/readyz", nil)
	if err != nil {
		return err
	}
	response, err := (&http.Client{Timeout: callTimeout}).Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s is not ready: %s", edge.Settings.NodeName, response.Status)
	}
	return nil
}
