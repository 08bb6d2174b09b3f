package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/ablation"
)

const (
	deployFile   = "deploy/system.toml"
	usualFlags   = "-ldflags=-linkmode=external"
	leftOutFlag  = " -X pulleygw.example/pulleygw/internal/tier/ablation.disabled="
	ablationTags = "-tags=ablation "
)

// nothing is a mechanism that does not exist: a build without it is what the others are held against. It has the tag as well,
// since two programs that differ in their code alone make different plays.
const nothing = "nothing"

// withoutEach makes, of what is committed in the first build's folder, one build that leaves out nothing and one for each
// mechanism that leaves it out. Several mechanisms joined by + are left out together.
func withoutEach(first build, mechanisms []string, out string) ([]build, error) {
	if len(mechanisms) == 0 {
		return nil, nil
	}
	if err := checkMechanisms(mechanisms); err != nil {
		return nil, err
	}
	var builds []build
	for _, mechanism := range append([]string{nothing}, mechanisms...) {
		made, err := without(first, mechanism, out)
		if err != nil {
			return nil, eris.Wrapf(err, "build without %s", mechanism)
		}
		builds = append(builds, made)
	}
	return builds, nil
}

// checkMechanisms refuses names that no mechanism has: a build without one of them would leave out nothing.
func checkMechanisms(named []string) error {
	for _, together := range named {
		for _, name := range strings.Split(together, "+") {
			if !slices.Contains(ablation.All, ablation.Mechanism(name)) {
				return eris.Errorf("--leave-out %q: there is no mechanism of this name; there are %v", name, ablation.All)
			}
		}
	}
	return nil
}

// without clones the first build's last commit and has its deploy file leave a mechanism out.
func without(first build, mechanism, out string) (build, error) {
	folder, err := filepath.Abs(filepath.Join(out, "builds", mechanism))
	if err != nil {
		return build{}, err
	}
	if err := os.RemoveAll(folder); err != nil {
		return build{}, err
	}
	if printed, err := exec.Command("git", "clone", "-q", "--shared", first.folder, folder).CombinedOutput(); err != nil {
		return build{}, eris.Wrap(err, string(printed))
	}
	path := filepath.Join(folder, deployFile)
	deploy, err := os.ReadFile(path)
	if err != nil {
		return build{}, err
	}
	changed := leaveOut(string(deploy), strings.ReplaceAll(mechanism, "+", ","))
	if changed == string(deploy) {
		return build{}, eris.Errorf("%s has no %s", deployFile, usualFlags)
	}
	return build{name: "no-" + mechanism, folder: folder}, os.WriteFile(path, []byte(changed), 0o644)
}

// leaveOut changes the deploy file's build so that it leaves mechanisms out.
func leaveOut(deploy, mechanisms string) string {
	flags := ablationTags + "-ldflags='-linkmode=external" + leftOutFlag + mechanisms + "'"
	return strings.Replace(deploy, usualFlags, flags, 1)
}
