package command

import (
	"cmp"
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/metrics"
	"pulleygw.example/pulleygw/internal/tier/runtimelimits"
	"pulleygw.example/pulleygw/internal/tier/settings"
)

// Role is one of the programs that the tier is made of. Run returns when ctx has ended and all is shut down in order.
type Role struct {
	Name string
	Help string
	Run  func(ctx context.Context, live *settings.Live, log hclog.Logger) error
}

// errNotBuilt tells of a part that this build lacks.
var errNotBuilt = eris.New("not part of this build")

// pollInterval is how often the settings file is looked at without a signal.
const pollInterval = 2 * time.Second

type runRole struct {
	role     Role
	Metrics  string `help:"Where metrics are told, as PORT/PATH; the settings file's where empty." default:""`
	Settings string `help:"Settings file." env:"PULLEYGW_SETTINGS" default:"/etc/pulleygw/node.toml"`
}

// Run runs the role until SIGTERM or SIGINT.
func (r *runRole) Run(around *environment) error {
	log := around.logger(r.role.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before anything else: without a taker the signal ends the process
	defer signal.Ignore(syscall.SIGHUP)    // and at the end it must not change the exit code
	live, err := settings.NewLive(r.Settings)
	if err != nil {
		log.Error("settings cannot be used", "file", r.Settings, "error", err)
		around.code = ExitBadSettings
		return nil
	}
	if r.role.Run == nil {
		return errNotBuilt
	}
	runtimelimits.Apply(live.Current().Limits)
	invariant.SetLogger(log)
	r.serveMetrics(ctx, live.Current(), log)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	reloading := &reloader{live: live, log: log}
	var watching sync.WaitGroup
	watching.Go(func() { reloading.run(ctx, hangups, ticker.C) })
	defer watching.Wait()
	defer stop()

	log.Info("started", "node", live.Current().NodeName, "ip", live.Current().IP, "zone", live.Current().Zone)
	if err := r.role.Run(ctx, live, log); err != nil {
		log.Error("ended by an error", "error", err)
		around.code = ExitRoleFailed
		return nil
	}
	log.Info("stopped")
	return nil
}

// serveMetrics tells metrics where that is asked for. A process that cannot serves its role all the same.
func (r *runRole) serveMetrics(ctx context.Context, own *settings.Settings, log hclog.Logger) {
	asked := cmp.Or(r.Metrics, own.Metrics)
	if asked == "" {
		return
	}
	at, err := metrics.ParseEndpoint(asked)
	switch {
	case err != nil:
	case own.UsesPort(at.Port): // the role comes first
		err = eris.Errorf("port %d is one of this machine's own", at.Port)
	default:
		err = metrics.Serve(ctx, own.IP, at)
	}
	if err != nil {
		log.Warn("metrics are not told", "error", err)
	}
}

// reloader puts a changed settings file in force.
type reloader struct {
	live    *settings.Live
	log     hclog.Logger
	refused string // the last error told, so that a file that stays bad is logged once
	looked  time.Time
}

// run reads the file again at each hang-up signal and each tick until ctx ends.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal, ticks <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.log.Info("SIGHUP: reading the settings again")
			r.refused = ""
			r.reload()
		case <-ticks:
			r.noteGap(time.Now())
			r.reload()
		}
	}
}

// gapMost is the longest time between two ticks of a process that runs all the while.
const gapMost = pollInterval + time.Second

// noteGap tells that the process did not run for a while: what came in meanwhile was answered late or not at all.
func (r *reloader) noteGap(now time.Time) {
	if gap := now.Sub(r.looked); !r.looked.IsZero() && gap > gapMost {
		r.log.Warn("this process did not run for a while", "seconds", (gap - pollInterval).Seconds())
	}
	r.looked = now
}

func (r *reloader) reload() {
	changed, err := r.live.Reload()
	switch {
	case err != nil && err.Error() != r.refused:
		r.refused = err.Error()
		r.log.Error("changed settings cannot be used, the earlier ones stay", "error", err)
	case err != nil:
	case changed:
		r.refused = ""
		runtimelimits.Apply(r.live.Current().Limits)
		r.log.Info("settings changed")
	}
}
