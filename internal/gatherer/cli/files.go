package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"pulleygw.example/pulleygw/internal/gatherer/config"
	"pulleygw.example/pulleygw/internal/gatherer/lifecycle"
	"pulleygw.example/pulleygw/internal/gatherer/limits"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
)

// classes reads the operator's classes from the configuration file.
func classes(path string) (*settings.Settings, []limits.Class, error) {
	if path == "" {
		return nil, nil, &codeError{ExitUsage, errors.New("--config is wanted (or $LB_CONFIG): limits are checked against its classes")}
	}
	c, err := lifecycle.LoadConfig(path, func(string) string { return "" })
	if err != nil {
		return nil, nil, fmt.Errorf("configuration: %w", err)
	}
	return &c.Settings, lifecycle.LimitClasses(&c.Settings), nil
}

// check checks a file of limits.
func check(files *Files) *cobra.Command {
	asJSON := false
	c := &cobra.Command{Use: "check [FILE]", Short: "Check a file of limits: all its faults, by line and rule",
		Example: "  pulleygw check deploy/pulleygw.yaml --config config.json\n  pulleygw check --json",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path := files.Limits
			if len(args) > 0 {
				path = args[0]
			}
			_, of, err := classes(files.Config)
			if err != nil {
				return err
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			read, err := config.Parse(path, text, of)
			var wrong config.FieldErrors
			if err != nil && !errors.As(err, &wrong) {
				return err
			}
			out := c.OutOrStdout()
			if asJSON {
				if wrong == nil {
					wrong = config.FieldErrors{}
				}
				e := json.NewEncoder(out)
				e.SetIndent("", "  ")
				if err := e.Encode(map[string]any{"file": path, "good": len(wrong) == 0, "faults": wrong}); err != nil {
					return err
				}
			} else if len(wrong) == 0 {
				printf(out, "%s: good, %d routes\n", path, len(read.Limits.Routes))
			}
			if len(wrong) == 0 {
				return nil
			}
			if asJSON {
				return &codeError{ExitFault, fmt.Errorf("%d faults", len(wrong))}
			}
			return &codeError{ExitFault, wrong}
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}

// explain prints the route, the class and the limits of a request.
func explain(files *Files) *cobra.Command {
	var r limits.Request
	var class, client string
	var headers []string
	c := &cobra.Command{Use: "explain", Short: "Say which route a request takes, under which class, and where each limit comes from",
		Example: "  pulleygw explain --front opensearch --method POST --index lots --class CLASS --client 10.1.2.3",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			set, of, err := classes(files.Config)
			if err != nil {
				return err
			}
			if class == "" && len(set.Classes) > 0 {
				class = set.Classes[0]
			}
			if set.Class(class) < 0 {
				return &codeError{ExitUsage, fmt.Errorf("--class: %q is not a class of the settings", class)}
			}
			if client != "" {
				if r.Client, err = netip.ParseAddr(client); err != nil {
					return &codeError{ExitUsage, fmt.Errorf("--client: %w", err)}
				}
			}
			r.Header = func(name string) string { return header(headers, name) }
			file, err := config.Load(files.Limits, of)
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			var route *limits.Route
			if file != nil {
				route = file.Limits.Table.Find(&r, class)
			}
			if route == nil {
				printf(out, "route: none; class %s as the settings have it\n", class)
				route = &limits.Route{}
			} else {
				printf(out, "route: %s (%s:%d)\nclass: %s\n", route.Name, files.Limits, route.LineNumber, class)
			}
			printLimits(out, files, route, of, class)
			return nil
		}}
	c.Flags().StringVar(&r.Front, "front", "platform", "platform or opensearch")
	c.Flags().StringVar(&r.Method, "method", "POST", "the method")
	c.Flags().StringVar(&r.Index, "index", "", "the index; on the platform's front the class")
	c.Flags().StringVar(&class, "class", "", "the class; without it the first of the settings")
	c.Flags().StringVar(&client, "client", "", "the client's address")
	c.Flags().StringArrayVar(&headers, "header", nil, "a header as NAME=VALUE, as often as wanted")
	return c
}

// header returns the value of a header among NAME=VALUE, empty if it is missing.
func header(headers []string, name string) string {
	for _, h := range headers {
		if k, v, _ := strings.Cut(h, "="); strings.EqualFold(k, name) {
			return v
		}
	}
	return ""
}

// printLimits prints the limits of a route for a class, and where each comes from.
func printLimits(out io.Writer, files *Files, route *limits.Route, classes []limits.Class, class string) {
	k := classes[0]
	for _, x := range classes {
		if x.Name == class {
			k = x
		}
	}
	inherited := map[string]any{"wanted": k.LatencyTarget, "give_up": k.Timeout, "attempts": k.Attempts, "least": k.Floor}
	for _, f := range route.Limits.Fields() {
		switch {
		case f[1] != "":
			printf(out, "  %-18s %-12s %s:%d\n", f[0], f[1], files.Limits, route.LineNumberOf(f[0]))
		case inherited[f[0]] != nil:
			printf(out, "  %-18s %-12v %s (class %s)\n", f[0], inherited[f[0]], files.Config, class)
		}
	}
}
