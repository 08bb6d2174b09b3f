package soak

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/testbed"
)

const (
	spoilLength  = 7 // bytes that are left of a file
	slowSync     = 700 * time.Millisecond
	retireTime   = 20 * time.Second
	beginTime    = time.Second // within which a process may not have got to take signals, on a busy machine
	slowLinkTime = 60 * time.Millisecond
)

// runTroubles brings the plan's troubles about and returns when all of them have ended.
func (w *world) runTroubles(ctx context.Context) {
	started := time.Now()
	var group sync.WaitGroup
	for _, trouble := range w.plan.Troubles {
		group.Go(func() {
			if !clock.Sleep(ctx, time.Until(started.Add(trouble.At))) {
				return
			}
			end := w.begin(w.causeOf(trouble))
			if w.apply(trouble) {
				w.Count("trouble " + string(trouble.Kind))
			} else {
				w.Count("not run: " + string(trouble.Kind))
			}
			end()
		})
	}
	group.Wait()
}

// causeOf tells what rules a trouble excuses.
func (w *world) causeOf(trouble Trouble) cause {
	why := cause{what: trouble.String()}
	switch trouble.Kind {
	case HangUp:
		why.planned = true
	case Terminate:
		why.planned = trouble.Class == classEdge
	case KillEverybody:
		why.stops = everyEdge
	}
	switch trouble.Kind {
	case KillMachine, KillRole, PauseMachine, PauseRole, Terminate:
		if trouble.Class == classEdge {
			why.stops = w.machine(trouble).Settings.Listen.Front
		}
	}
	return why
}

func (w *world) machine(trouble Trouble) *testbed.Machine {
	switch trouble.Class {
	case classEdge:
		return w.Edges[trouble.Number%len(w.Edges)]
	case classCore:
		return w.Coordinators[trouble.Number%len(w.Coordinators)]
	}
	return w.TurnStores[trouble.Number%len(w.TurnStores)]
}

// apply brings one trouble about, and says whether it came about.
func (w *world) apply(trouble Trouble) bool {
	machine := w.machine(trouble)
	switch trouble.Kind {
	case Isolate, CutPair, CutOneWay, CutHalves, SlowLinks, LoseReplies, ResetAll:
		return w.applyToLinks(trouble, machine)
	case KillCore:
		return w.killAll(w.Coordinators, trouble.For)
	case KillStores:
		return w.killAll(w.TurnStores, trouble.For)
	case KillEverybody:
		return w.killAll(w.Machines(), trouble.For)
	case ReplaceCore:
		return w.replaceCore(machine)
	case GrowStores:
		return w.growStores()
	}
	if !w.claim(machine) {
		return false
	}
	defer w.release(machine)
	return w.applyToMachine(trouble, machine)
}

func (w *world) applyToMachine(trouble Trouble, machine *testbed.Machine) bool {
	role := machine.Roles()[trouble.Role%len(machine.Roles())]
	switch trouble.Kind {
	case KillMachine:
		w.kill(machine)
		time.Sleep(trouble.For)
		return w.launch(machine) == nil
	case KillRole:
		w.expectEnd(machine)
		machine.KillRole(role)
		time.Sleep(trouble.For)
		return w.launch(machine) == nil
	case PauseMachine:
		machine.Signal(syscall.SIGSTOP)
		time.Sleep(trouble.For)
		machine.Signal(syscall.SIGCONT)
	case PauseRole:
		machine.SignalRole(role, syscall.SIGSTOP)
		time.Sleep(trouble.For)
		machine.SignalRole(role, syscall.SIGCONT)
	case Terminate:
		w.terminate(machine)
		return w.launch(machine) == nil
	case HangUp:
		machine.Settings.Limits.LinkMbps++
		_ = machine.WriteSettings()
		machine.Signal(syscall.SIGHUP)
	case BadSettings:
		w.spoilSettings(machine, trouble.For)
	case Wipe, Spoil, RemoveFile, Rot:
		return w.loseDisk(machine, trouble)
	case SlowDisk:
		return w.troubleDisk(machine, trouble.For, DiskTrouble{Delay: slowSync})
	case FailSync:
		return w.troubleDisk(machine, trouble.For, DiskTrouble{Failing: true})
	case FullDisk:
		return w.troubleDisk(machine, trouble.For, DiskTrouble{Full: true})
	case DiskFails:
		return failDisk(machine, trouble.For)
	case Retire:
		return w.retire(machine)
	}
	return true
}

func (w *world) kill(machine *testbed.Machine) {
	w.expectEnd(machine)
	machine.Kill()
}

// terminate stops a machine in order; a process that fails to is a fault.
func (w *world) terminate(machine *testbed.Machine) {
	w.expectEnd(machine)
	w.mu.Lock()
	lived := time.Since(w.started[machine])
	w.mu.Unlock()
	err := machine.Terminate()
	switch {
	case err == nil:
	case lived < beginTime && strings.Contains(err.Error(), "signal: terminated"):
		w.Count("stopped before it took signals")
	default:
		w.Break("FAULT", "SIGTERM after %v: %v", lived, err)
	}
}

// spoilSettings has processes meet a settings file that cannot be used, and then a good one.
func (w *world) spoilSettings(machine *testbed.Machine, during time.Duration) {
	good := machine.Settings.Seeds
	machine.Settings.Seeds = []string{"nowhere"}
	_ = machine.WriteSettings()
	machine.Signal(syscall.SIGHUP)
	time.Sleep(during)
	machine.Settings.Seeds = good
	_ = machine.WriteSettings()
	machine.Signal(syscall.SIGHUP)
}

// loseDisk has a machine come back without its disk, or with a spoilt file.
func (w *world) loseDisk(machine *testbed.Machine, trouble Trouble) bool {
	w.kill(machine)
	if trouble.Kind == Wipe {
		_ = machine.Wipe()
	} else if !w.spoilFile(machine.Settings.DataDir, trouble) {
		w.Count("nothing to spoil")
	}
	time.Sleep(trouble.For)
	return w.launch(machine) == nil
}

// spoilFile damages a file below a folder.
func (w *world) spoilFile(folder string, trouble Trouble) bool {
	var files []string
	_ = filepath.Walk(folder, func(path string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() && info.Size() > spoilLength {
			files = append(files, path)
		}
		return nil
	})
	if len(files) == 0 {
		return false
	}
	path := files[trouble.Other%len(files)]
	w.Note("%s of %s", trouble.Kind, path)
	switch trouble.Kind {
	case RemoveFile:
		return os.Remove(path) == nil
	case Rot:
		return rotFile(path)
	}
	return os.Truncate(path, spoilLength) == nil
}

// rotFile changes a byte in the middle of a file.
func rotFile(path string) bool {
	data, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	data[len(data)/2] ^= 1
	return os.WriteFile(path, data, 0o600) == nil
}

// troubleDisk has something wrong with a running machine's disk for a while.
func (w *world) troubleDisk(machine *testbed.Machine, during time.Duration, trouble DiskTrouble) bool {
	folder := machine.Settings.DataDir
	if !w.plan.Volatile || folder == "" || setTrouble(folder, trouble) != nil {
		return false
	}
	time.Sleep(during)
	clearTrouble(folder)
	return true
}

// failDisk takes the folder of a running machine away for a while: files cannot be made, renamed or listed meanwhile.
func failDisk(machine *testbed.Machine, during time.Duration) bool {
	folder := machine.Settings.DataDir
	if folder == "" || os.Rename(folder, folder+".away") != nil {
		return false
	}
	time.Sleep(during)
	return os.Rename(folder+".away", folder) == nil
}

func (w *world) killAll(machines []*testbed.Machine, during time.Duration) bool {
	var claimed []*testbed.Machine
	for _, machine := range machines {
		if w.claim(machine) {
			claimed = append(claimed, machine)
		}
	}
	var group sync.WaitGroup
	for _, machine := range claimed {
		group.Go(func() { w.kill(machine) })
	}
	group.Wait()
	time.Sleep(min(during, time.Second))
	for _, machine := range claimed {
		_ = w.launch(machine)
		w.release(machine)
	}
	return len(claimed) > 0
}

// replaceCore takes a coordinator away for good; an empty one starts at another address.
func (w *world) replaceCore(machine *testbed.Machine) bool {
	if !w.claim(machine) {
		return false
	}
	w.kill(machine)
	w.mu.Lock()
	w.gone[machine], w.replaced = true, true
	w.mu.Unlock()
	return w.launch(w.SpareCoordinators[0]) == nil
}

func (w *world) growStores() bool {
	w.mu.Lock()
	again := w.grown
	w.grown = true
	w.mu.Unlock()
	return !again && w.launch(w.SpareTurnStores[0]) == nil
}

// retire empties a turn store and takes it away with its disk once that is completed.
func (w *world) retire(machine *testbed.Machine) bool {
	w.mu.Lock()
	again := w.retired
	w.retired = true
	w.mu.Unlock()
	if again {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), retireTime)
	defer cancel()
	operator := testbed.NewOperator(w.Controls())
	answer, err := operator.Retire(ctx, machine.Settings.NodeName, retireTime)
	if err != nil || answer.Status != 200 {
		w.Note("retirement of %s: %d %s %v", machine.Settings.NodeName, answer.Status, answer.Body, err)
		return false
	}
	for ctx.Err() == nil {
		if state, err := operator.Retirement(ctx, machine.Settings.NodeName); err == nil && state == "completed" {
			w.kill(machine)
			_ = machine.Wipe()
			w.mu.Lock()
			w.gone[machine] = true
			w.mu.Unlock()
			w.Count("retirement completed")
			return true
		}
		clock.Sleep(ctx, 100*time.Millisecond)
	}
	w.Count("retirement not completed in time")
	return true
}

func (w *world) applyToLinks(trouble Trouble, machine *testbed.Machine) bool {
	self := machine.Settings.IP
	var releases []func()
	block := func(from, to string) { releases = append(releases, w.relay.Block(from, to)) }
	switch trouble.Kind {
	case ResetAll:
		return w.relay.Reset(self) > 0
	case LoseReplies:
		releases = append(releases, w.relay.LoseReplies(self))
	case CutHalves:
		w.cutHalves(trouble, block)
	case Isolate:
		releases = append(releases, w.isolate(machine))
	default:
		others := w.members()
		for number, other := range others {
			if other == machine || trouble.Kind != SlowLinks && number != trouble.Other%len(others) {
				continue
			}
			switch trouble.Kind {
			case SlowLinks:
				releases = append(releases, w.relay.Delay(self, other.Settings.IP, slowLinkTime))
			case CutOneWay:
				block(self, other.Settings.IP)
			default:
				block(self, other.Settings.IP)
				block(other.Settings.IP, self)
			}
		}
	}
	time.Sleep(trouble.For)
	for _, release := range releases {
		release()
	}
	if trouble.Other%2 == 0 { // connections of before the cut do not outlive it
		w.relay.Reset(self)
	}
	return len(releases) > 0
}

// isolate cuts a machine off from all others until the returned function is called.
func (w *world) isolate(machine *testbed.Machine) (restore func()) {
	var releases []func()
	for _, other := range w.members() {
		if other != machine {
			releases = append(releases, w.relay.Block(machine.Settings.IP, other.Settings.IP))
			releases = append(releases, w.relay.Block(other.Settings.IP, machine.Settings.IP))
		}
	}
	return func() {
		for _, release := range releases {
			release()
		}
	}
}

// cutHalves cuts the machines with a disk in two; edges reach both halves.
func (w *world) cutHalves(trouble Trouble, block func(from, to string)) {
	var disks []*testbed.Machine
	for _, machine := range w.members() {
		if machine.Settings.CountsForQuorum {
			disks = append(disks, machine)
		}
	}
	side := func(number int) bool { return (number*7+trouble.Other)%3 == 0 }
	for i, one := range disks {
		for j, other := range disks {
			if i != j && side(i) != side(j) {
				block(one.Settings.IP, other.Settings.IP)
			}
		}
	}
}
