package trial

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// millctl runs the command millctl as an operator and returns its standard output.
func (f *fleet) millctl(operator string, args ...string) ([]byte, error) {
	cmd := exec.Command(filepath.Join(f.bin, "millctl"), args...)
	cmd.Env = append(os.Environ(), "MILLCTL_TOKEN="+f.keys[operator].Key)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		return nil, fmt.Errorf("trial: millctl %s: %w: %s", strings.Join(args, " "), err, strings.TrimSpace(errOut.String()))
	}
	return out.Bytes(), nil
}

// makeKeys creates, with millctl, the signer's key pair, the operators' tokens and the bearer
// key of the client account.
func (f *fleet) makeKeys() error {
	for _, name := range []string{"abel", "vera", "ruth", "observatory"} {
		out, err := f.millctl("", "keys", "token", "--output", "json")
		if err != nil {
			return err
		}
		var k credential
		if err := json.Unmarshal(out, &k); err != nil {
			return err
		}
		f.keys[name] = k
	}
	out, err := f.millctl("", "keys", "signer", "--out", f.signerKeyPath(), "--output", "json")
	if err != nil {
		return err
	}
	var k struct {
		PublicKey string `json:"publicKey"`
	}
	err = json.Unmarshal(out, &k)
	f.publicKey = k.PublicKey
	return err
}

func (f *fleet) signerKeyPath() string { return filepath.Join(f.dir, "vera.key") }

// encodeBundle returns a version of the trial's bundle as JSON.
func (f *fleet) encodeBundle(version int) ([]byte, error) {
	type object = map[string]any
	var groups []object
	for _, d := range failureDomains {
		groups = append(groups, object{"failureDomain": d, "count": groupsPerDomain})
	}
	return json.MarshalIndent(object{
		"version": version, "previous": version - 1, "author": "abel", "note": fmt.Sprintf("version %d of the trial", version),
		"pools": []object{{
			"name": "guides", "base": "guide-70b", "version": "2026-11", "adapters": []string{"patrons"},
			"groupSize": groupSize, "priority": 5, "groups": groups,
		}},
		"models": []object{{"name": "mill-guides", "pool": "guides", "adapter": "patrons", "deadline": "20s"}},
		"services": []object{{
			"name": "pad-ledger", "deadline": "5s", "repeatable": []object{{"method": "GET", "path": "/holds/*"}},
		}},
		"accounts": []object{{
			"name": "observatory", "keyDigests": []string{f.keys["observatory"].Digest}, "priority": 5,
			"requestsPerSecond": 2000, "burst": 2000, "services": []string{"mill-guides", "pad-ledger"},
		}},
		"repair": object{"groupDowntime": 2, "strandedAccelerators": 1},
	}, "", "  ")
}

// acceptBundle proposes a version of the bundle as its author and signs it off as another operator.
func (f *fleet) acceptBundle(version int, via *entry) error {
	text, err := f.encodeBundle(version)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, fmt.Sprintf("bundle-%d.json", version))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	steps := []struct {
		operator string
		args     []string
	}{
		{"abel", []string{"bundle", "check", "--fleet", path}},
		{"abel", []string{"bundle", "propose", path}},
		{"vera", []string{"bundle", "sign", strconv.Itoa(version), "--key", f.signerKeyPath()}},
	}
	for _, s := range steps {
		if _, err := f.millctl(s.operator, append([]string{"--address", via.admin.String()}, s.args...)...); err != nil {
			return err
		}
	}
	return nil
}

// bundleVersions returns the version in force on each entry instance that via reports.
func (f *fleet) bundleVersions(via *entry) (map[string]int, error) {
	text, err := f.millctl("ruth", "--address", via.admin.String(), "--output", "json", "instances")
	if err != nil {
		return nil, err
	}
	var all struct {
		Instances []struct {
			Instance      string `json:"instance"`
			BundleVersion int    `json:"bundleVersion"`
		} `json:"instances"`
	}
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	out := map[string]int{}
	for _, i := range all.Instances {
		out[i.Instance] = i.BundleVersion
	}
	return out, nil
}

// group is one replica group as millctl prints it.
type group struct {
	Group         string   `json:"group"`
	FailureDomain string   `json:"failureDomain"`
	Epoch         uint64   `json:"epoch"`
	Members       []string `json:"members"`
	Ready         bool     `json:"ready"`
	Reason        string   `json:"reason"`
}

// fetchGroups fetches the groups of each failure domain from one of its running entry instances.
func (f *fleet) fetchGroups() ([]group, error) {
	var out []group
	queried := map[string]bool{}
	for _, e := range f.entries {
		if queried[e.domain] || !e.process.IsRunning() {
			continue
		}
		queried[e.domain] = true
		groups, err := f.groupsFrom(e)
		if err != nil {
			return nil, err
		}
		out = append(out, groups...)
	}
	return out, nil
}

// groupsFrom fetches the groups of the failure domain of via from via.
func (f *fleet) groupsFrom(via *entry) ([]group, error) {
	text, err := f.millctl("ruth", "--address", via.admin.String(), "--output", "json", "groups")
	if err != nil {
		return nil, err
	}
	var all struct {
		Groups []group `json:"groups"`
	}
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	return slices.DeleteFunc(all.Groups, func(g group) bool { return g.FailureDomain != via.domain }), nil
}
