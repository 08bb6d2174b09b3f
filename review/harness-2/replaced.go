//go:build review

package main

import (
	"context"
	"os"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Times of the case after the successor has started, in seconds.
const (
	goneAt        = 10.0 // since the traffic began: the first store machine is gone for good
	successorWait = 1.0  // until its successor starts
	firstCoreKill = 0.3
	otherCoreKill = 3.0
	coreFor       = 0.9
	otherDiskAt   = 4.6
)

// replaced: a store machine is gone for good and replaced by an empty one at another address. All processes of the core are killed
// twice meanwhile. When the successor has run for catchUpS and half a second more, another store machine loses its disk.
func replaced(ctx context.Context, r *run) (int, error) {
	if err := r.start(ctx, func(*testbed.Configuration) {}); err != nil {
		return couldNot, err
	}
	return r.playAround(ctx, r.replaceWhileTheCoreRestarts)
}

func (r *run) replaceWhileTheCoreRestarts() error {
	old, other := r.tier.TurnStores[0], r.tier.TurnStores[1]
	r.at(goneAt)
	old.Kill()
	_ = os.RemoveAll(old.Settings.DataDir)
	r.note("%s: SIGKILL, gone for good with its disk", old.Settings.NodeName)
	r.at(goneAt + successorWait)
	successor, err := r.tier.AddTurnStore()
	if err != nil {
		return err
	}
	r.note("%s: started, empty, at %s, as its successor", successor.Settings.NodeName, successor.Settings.IP)
	for _, after := range []float64{firstCoreKill, otherCoreKill} {
		if err := r.killCore(goneAt + successorWait + after); err != nil {
			return err
		}
	}
	r.at(goneAt + successorWait + otherDiskAt)
	return r.loseDisk(other, time.Duration(secondFor*float64(time.Second)))
}

// killCore kills all processes of the core at once; they are back within a second, with their disks.
func (r *run) killCore(when float64) error {
	r.at(when)
	for _, machine := range r.tier.Coordinators {
		go machine.Kill()
	}
	r.note("the core: SIGKILL of all processes")
	r.at(when + coreFor)
	for _, machine := range r.tier.Coordinators {
		if err := machine.Start(); err != nil {
			return err
		}
	}
	r.note("the core: started again")
	return nil
}
