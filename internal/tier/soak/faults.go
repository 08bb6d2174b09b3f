package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Shares of all machines that are killed at once: 1 of so many, rounded up.
const (
	halfOfAll  = 2
	thirdOfAll = 3
)

// A machine whose CPU quota is spent runs for a part of each period, as under the bandwidth control of Linux.
const (
	quotaPeriod  = 100 * time.Millisecond
	quotaRunTime = 40 * time.Millisecond
)

// Times of faults.
const (
	slowSync        = 700 * time.Millisecond
	retireTime      = 20 * time.Second
	signalReadyTime = time.Second // within which a process may not handle signals yet, on a busy machine
)

// injectFaults injects the plan's faults at their times and returns when all of them have ended.
func (h *harness) injectFaults(ctx context.Context) {
	started := time.Now()
	var group sync.WaitGroup
	for _, fault := range h.plan.Faults {
		group.Go(func() {
			if !clock.Sleep(ctx, time.Until(started.Add(fault.At))) {
				return
			}
			end := h.beginFault(h.scopeOf(fault))
			if h.apply(fault) {
				h.Count("fault " + string(fault.Kind))
			} else {
				h.Count("not injected: " + string(fault.Kind))
			}
			end()
		})
	}
	group.Wait()
}

// scopeOf returns which rules a fault excuses, and where.
func (h *harness) scopeOf(fault Fault) faultScope {
	scope := faultScope{what: fault.String(), disk: fault.Class != classEdge}
	switch fault.Kind {
	case Reload:
		scope.planned = true
	case Terminate, TerminateSignalled:
		scope.planned = fault.Class == classEdge || h.plan.Planned
	case KillAll, KillHalf, KillThird:
		scope.stops = everyEdge
	}
	switch fault.Kind {
	case ThrottleMachine, KillMachine, KillRole, PauseMachine, PauseRole, Terminate, TerminateSignalled:
		if fault.Class == classEdge {
			scope.stops = h.machine(fault).Settings.Listen.Front
		}
	}
	return scope
}

func (h *harness) machine(fault Fault) *testbed.Machine {
	switch fault.Class {
	case classEdge:
		return h.Edges[fault.Number%len(h.Edges)]
	case classCoordinator:
		return h.Coordinators[fault.Number%len(h.Coordinators)]
	}
	return h.TurnStores[fault.Number%len(h.TurnStores)]
}

// apply injects one fault for its duration, and reports whether that was possible.
func (h *harness) apply(fault Fault) bool {
	machine := h.machine(fault)
	switch fault.Kind {
	case Isolate, PartitionPair, PartitionOneWay, PartitionHalves, SlowLinks, DropReplies, ResetConnections:
		return h.applyToLinks(fault, machine)
	case KillCoordinators:
		return h.killMachines(h.Coordinators, fault.For)
	case KillTurnStores:
		return h.killMachines(h.TurnStores, fault.For)
	case KillAll:
		return h.killMachines(h.Machines(), fault.For)
	case KillHalf:
		return h.killMachines(drawMachines(h.members(), halfOfAll, fault), fault.For)
	case KillThird:
		return h.killMachines(drawMachines(h.members(), thirdOfAll, fault), fault.For)
	case ReplaceCoordinator:
		return h.replaceCoordinator(machine)
	case AddTurnStore:
		return h.addTurnStore()
	}
	if !h.claim(machine) {
		return false
	}
	defer h.release(machine)
	return h.applyToMachine(fault, machine)
}

func (h *harness) applyToMachine(fault Fault, machine *testbed.Machine) bool {
	role := machine.Roles()[fault.Role%len(machine.Roles())]
	switch fault.Kind {
	case KillMachine:
		h.kill(machine)
		time.Sleep(fault.For)
		return h.launch(machine) == nil
	case KillRole:
		h.expectExit(machine)
		machine.KillRole(role)
		time.Sleep(fault.For)
		return h.launch(machine) == nil
	case PauseMachine:
		machine.Signal(syscall.SIGSTOP)
		time.Sleep(fault.For)
		machine.Signal(syscall.SIGCONT)
	case PauseRole:
		machine.SignalRole(role, syscall.SIGSTOP)
		time.Sleep(fault.For)
		machine.SignalRole(role, syscall.SIGCONT)
	case ThrottleMachine:
		throttle(machine, fault.For)
	case Terminate, TerminateSignalled:
		return h.restartGracefully(machine, fault)
	case Reload:
		machine.Settings.Limits.LinkMbps++
		_ = machine.WriteSettings()
		machine.Signal(syscall.SIGHUP)
	case BadSettings:
		h.reloadBadSettings(machine, fault.For)
	case Wipe, TruncateFile, RemoveFile, CorruptFile:
		return h.restartWithDamagedDisk(machine, fault)
	case SlowDisk:
		return h.injectDiskFault(machine, fault.For, DiskFault{Delay: slowSync})
	case FailSync:
		return h.injectDiskFault(machine, fault.For, DiskFault{Failing: true})
	case FullDisk:
		return h.injectDiskFault(machine, fault.For, DiskFault{Full: true})
	case TornWrites:
		return h.losePowerWithinWrites(machine, fault.For)
	case RemoveDataFolder:
		return removeDataFolder(machine, fault.For)
	case RetireTurnStore:
		return h.retireTurnStore(machine)
	}
	return true
}

func (h *harness) kill(machine *testbed.Machine) {
	h.expectExit(machine)
	machine.Kill()
}

// terminate shuts a machine down gracefully; a process that fails to is a violation.
func (h *harness) terminate(machine *testbed.Machine) {
	h.expectExit(machine)
	h.mu.Lock()
	lived := time.Since(h.started[machine])
	h.mu.Unlock()
	err := machine.TerminateWithin(h.killAfter())
	switch {
	case err == nil:
	case lived < signalReadyTime && strings.Contains(err.Error(), "signal: terminated"):
		h.Count("terminated before it handled signals")
	default:
		h.ReportViolation("FAULT", "SIGTERM after %v: %v", lived, err)
	}
}

// reloadBadSettings reloads an invalid settings file, and later a valid one.
func (h *harness) reloadBadSettings(machine *testbed.Machine, during time.Duration) {
	good := machine.Settings.Seeds
	machine.Settings.Seeds = []string{"nowhere"}
	_ = machine.WriteSettings()
	machine.Signal(syscall.SIGHUP)
	time.Sleep(during)
	machine.Settings.Seeds = good
	_ = machine.WriteSettings()
	machine.Signal(syscall.SIGHUP)
}

// drawMachines draws one of so many machines, rounded up. The same fault always draws the same numbers.
func drawMachines(machines []*testbed.Machine, oneOf int, fault Fault) []*testbed.Machine {
	random := rand.New(rand.NewPCG(uint64(fault.At), uint64(fault.Other)))
	random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	return machines[:(len(machines)+oneOf-1)/oneOf]
}

// throttle lets a machine run for a part of each quota period only.
func throttle(machine *testbed.Machine, during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); {
		machine.Signal(syscall.SIGSTOP)
		time.Sleep(quotaPeriod - quotaRunTime)
		machine.Signal(syscall.SIGCONT)
		time.Sleep(quotaRunTime)
	}
}

// killMachines kills machines at the same time and restarts them. It reports whether there were any that it could claim.
func (h *harness) killMachines(machines []*testbed.Machine, during time.Duration) bool {
	var claimed []*testbed.Machine
	for _, machine := range machines {
		if h.claim(machine) {
			claimed = append(claimed, machine)
		}
	}
	var group sync.WaitGroup
	for _, machine := range claimed {
		group.Go(func() { h.kill(machine) })
	}
	group.Wait()
	time.Sleep(min(during, time.Second))
	for _, machine := range claimed {
		_ = h.launch(machine)
		h.release(machine)
	}
	return len(claimed) > 0
}

// replaceCoordinator removes a coordinator for good and starts one without data at another address.
func (h *harness) replaceCoordinator(machine *testbed.Machine) bool {
	if !h.claim(machine) {
		return false
	}
	h.kill(machine)
	h.mu.Lock()
	h.removed[machine], h.replaced = true, true
	h.mu.Unlock()
	return h.launch(h.SpareCoordinators[0]) == nil
}

func (h *harness) addTurnStore() bool {
	h.mu.Lock()
	grown := h.grown
	h.grown = true
	h.mu.Unlock()
	return !grown && h.launch(h.SpareTurnStores[0]) == nil
}

// retireTurnStore retires a turn store and removes it with its disk once the retirement is completed.
func (h *harness) retireTurnStore(machine *testbed.Machine) bool {
	h.mu.Lock()
	again := h.retired
	h.retired = true
	h.mu.Unlock()
	if again {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), retireTime)
	defer cancel()
	operator := testbed.NewOperator(h.Controls())
	answer, err := operator.Retire(ctx, machine.Settings.NodeName, retireTime)
	if err != nil || answer.Status != 200 {
		h.Logf("retirement of %s: %d %s %v", machine.Settings.NodeName, answer.Status, answer.Body, err)
		return false
	}
	for ctx.Err() == nil {
		if state, err := operator.Retirement(ctx, machine.Settings.NodeName); err == nil && state == "completed" {
			h.kill(machine)
			_ = machine.Wipe()
			h.mu.Lock()
			h.removed[machine] = true
			h.mu.Unlock()
			h.Count("retirement completed")
			return true
		}
		clock.Sleep(ctx, 100*time.Millisecond)
	}
	h.Count("retirement not completed in time")
	return true
}
