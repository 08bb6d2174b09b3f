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
	defaultFlags = "-ldflags=-linkmode=external"
	disabledFlag = " -X pulleygw.example/pulleygw/internal/tier/ablation.disabled="
	ablationTags = "-tags=ablation "
)

// nothing is the name of no mechanism: the build without it is the baseline of the ablation. The baseline has the build tag
// too, since builds that differ in their code layout already give different results.
const nothing = "nothing"

// ablatedBuilds creates builds of the last commit of the first build: the baseline, which has all mechanisms, and one
// without each mechanism. Mechanisms joined by + are disabled together.
func ablatedBuilds(first build, mechanisms []string, out string) ([]build, error) {
	if len(mechanisms) == 0 {
		return nil, nil
	}
	if err := checkMechanisms(mechanisms); err != nil {
		return nil, err
	}
	var builds []build
	for _, mechanism := range append([]string{nothing}, mechanisms...) {
		made, err := ablatedBuild(first, mechanism, out)
		if err != nil {
			return nil, eris.Wrapf(err, "build without %s", mechanism)
		}
		builds = append(builds, made)
	}
	return builds, nil
}

// checkMechanisms returns an error for a name of no mechanism, since a build without it would be the baseline.
func checkMechanisms(names []string) error {
	for _, joined := range names {
		for _, name := range strings.Split(joined, "+") {
			if !slices.Contains(ablation.All, ablation.Mechanism(name)) {
				return eris.Errorf("--leave-out %q: no mechanism has this name; the mechanisms are %v", name, ablation.All)
			}
		}
	}
	return nil
}

// ablatedBuild clones the last commit of the first build and disables a mechanism in its deploy file.
func ablatedBuild(first build, mechanism, out string) (build, error) {
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
	changed := disableMechanisms(string(deploy), strings.ReplaceAll(mechanism, "+", ","))
	if changed == string(deploy) {
		return build{}, eris.Errorf("%s has no %s", deployFile, defaultFlags)
	}
	return build{name: "no-" + mechanism, folder: folder}, os.WriteFile(path, []byte(changed), 0o644)
}

// disableMechanisms changes the build command of a deploy file so that mechanisms are disabled.
func disableMechanisms(deploy, mechanisms string) string {
	flags := ablationTags + "-ldflags='-linkmode=external" + disabledFlag + mechanisms + "'"
	return strings.Replace(deploy, defaultFlags, flags, 1)
}
