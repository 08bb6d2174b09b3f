package cli

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pulleygw.example/pulleygw/internal/gatherer/audit"
	"pulleygw.example/pulleygw/internal/gatherer/record"
)

// auditCommand audits a record.
func auditCommand() *cobra.Command {
	return &cobra.Command{Use: "audit FOLDER", Short: "Prove from the record of attempts that every limit held", Args: cobra.ExactArgs(1),
		Example: "  pulleygw audit /var/lib/pulleygw/record",
		RunE: func(c *cobra.Command, args []string) error {
			a, n := audit.New(), 0
			torn, err := record.Read(args[0], func(e record.Entry) error {
				if n++; n%1_000_000 == 0 {
					printf(c.ErrOrStderr(), "%d entries read\n", n)
				}
				a.Add(e)
				return nil
			})
			if err != nil {
				return err
			}
			r, out := a.Report(), c.OutOrStdout()
			printf(out, "%d entries, %d files that end torn, %d entries dropped\n", n, torn, r.Dropped)
			printf(out, "%d requests: %d answered, %d refused, %d failed, %d left by their clients, %d still open; %d attempts\n",
				r.Requests, r.Answered, r.Rejected, r.Failed, r.Disconnected, r.Open, r.Attempts)
			for _, b := range r.Violations {
				printf(out, "breach: %v\n", b)
			}
			if found := len(r.Violations) + r.More; found > 0 {
				return &codeError{ExitFault, fmt.Errorf("%d breaches", found)}
			}
			printf(out, "every limit held\n")
			return nil
		}}
}

// kindNames are the kinds of entries as printed.
var kindNames = map[record.Kind]string{record.Arrived: "arrived", record.Released: "let", record.Attempt: "attempt", record.Final: "final",
	record.Dropped: "dropped", record.Started: "begun"}

// entryFilter selects entries of a record; empty fields select all.
type entryFilter struct {
	kind, route, class, verdict string
	request                     uint64
	store                       uint32
}

// selects reports whether an entry is selected.
func (f *entryFilter) selects(e record.Entry) bool {
	return (f.kind == "" || kindNames[e.Kind] == f.kind) && (f.route == "" || e.Route == f.route) && (f.class == "" || e.Class == f.class) &&
		(f.verdict == "" || e.Verdict == f.verdict) && (f.request == 0 || e.Request == f.request) && (f.store == 0 || e.Store == f.store)
}

// logCommand prints a record, filtered, and follows it if asked.
func logCommand() *cobra.Command {
	filter, follow := entryFilter{}, false
	c := &cobra.Command{Use: "log FOLDER", Short: "Show the record of attempts, one entry a line as JSON", Args: cobra.ExactArgs(1),
		Example: "  pulleygw log FOLDER --route dealers --verdict refuse --follow\n  pulleygw log FOLDER --request 812",
		RunE: func(c *cobra.Command, args []string) error {
			out := json.NewEncoder(c.OutOrStdout())
			show := func(e record.Entry) error {
				if !filter.selects(e) {
					return nil
				}
				return out.Encode(struct {
					Kind string    `json:"kind"`
					At   time.Time `json:"at"`
					record.Entry
				}{kindNames[e.Kind], time.UnixMicro(e.At).UTC(), e})
			}
			tail := &record.Tail{Dir: args[0]}
			if _, err := os.Stat(args[0]); err != nil {
				return err
			}
			if err := tail.Next(show); err != nil || !follow {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt)
			defer stop()
			tick := time.NewTicker(followEvery)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return nil
				case <-tick.C:
					if err := tail.Next(show); err != nil {
						return err
					}
				}
			}
		}}
	f := c.Flags()
	f.StringVar(&filter.kind, "kind", "", "arrived, let, attempt, final, dropped or begun")
	f.StringVar(&filter.route, "route", "", "of a route's arrivals")
	f.StringVar(&filter.class, "class", "", "of a class's arrivals")
	f.StringVar(&filter.verdict, "verdict", "", "admit, wait, refuse, answered, refused, failed or left")
	f.Uint64Var(&filter.request, "request", 0, "of one request, by its number")
	f.Uint32Var(&filter.store, "store", 0, "of attempts at a lot store, by its number")
	f.BoolVar(&follow, "follow", false, "go on as it grows, until interrupted")
	return c
}

// followEvery is how often a record is read again when it is followed.
const followEvery = 200 * time.Millisecond

// ctl makes operators' calls; docs/operating.md says what they do.
func ctl() *cobra.Command {
	admin := os.Getenv("LB_ADMIN")
	c := &cobra.Command{Use: "ctl", Short: "Make an operator's call at a gatherer that serves", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.PersistentFlags().StringVar(&admin, "admin", admin, "where it listens for calls (default $LB_ADMIN)")
	for _, x := range []struct {
		call, short string
		names       int
	}{{"ping", "Is this process ready?", 0}, {"detach", "Take a lot store out", 1}, {"attach", "Put a lot store back", 1},
		{"lameduck", "Send clients away", 0}, {"rejoin", "The end of that", 0}} {
		use := x.call
		if x.names > 0 {
			use += " NAME"
		}
		c.AddCommand(&cobra.Command{Use: use, Short: x.short, Args: cobra.ExactArgs(x.names), RunE: func(c *cobra.Command, args []string) error {
			return call(c, admin, strings.Join(append([]string{strings.ToUpper(x.call)}, args...), " "))
		}})
	}
	return c
}

// callTimeout is the time-out of a call: an answer is due within a second.
const callTimeout = 3 * time.Second

// call makes one call and prints the answer.
func call(c *cobra.Command, addr, line string) error {
	if addr == "" {
		return &codeError{ExitUsage, errors.New("--admin is wanted (or $LB_ADMIN)")}
	}
	unreachable := func(err error) error { return &codeError{ExitUnreachable, fmt.Errorf("call %s: %w", addr, err)} }
	nc, err := (&net.Dialer{Timeout: callTimeout}).DialContext(c.Context(), "tcp", addr)
	if err != nil {
		return unreachable(err)
	}
	defer nc.Close()
	if err := nc.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return unreachable(err)
	}
	if _, err := fmt.Fprintf(nc, "%s\n", line); err != nil {
		return unreachable(err)
	}
	answer, err := bufio.NewReader(io.LimitReader(nc, 4<<10)).ReadString('\n')
	if err != nil && answer == "" {
		return unreachable(err)
	}
	printf(c.OutOrStdout(), "%s", answer)
	if !strings.HasPrefix(answer, "200") {
		return &codeError{ExitFault, errors.New("answered no")}
	}
	return nil
}
