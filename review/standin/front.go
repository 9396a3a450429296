package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// front is one entry instance: a process that is started with the command of the deploy file.
type front struct {
	name, zone, ip string
	address, ready string // of callers, and of readiness checks
	settings, log  string // paths
	root           string // of the repository
	command        []string
	process        *exec.Cmd
	ended          chan struct{} // closed when the process has ended
}

// readDeploy returns the command and the template of the only role of the deploy file.
func readDeploy(root string) (command []string, template string, err error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		key, value, ok := strings.Cut(line, " = ")
		if !ok {
			continue
		}
		value = strings.Trim(value, `"`)
		switch key {
		case "run":
			command = strings.Fields(value)
		case "template":
			b, err := os.ReadFile(filepath.Join(root, value))
			if err != nil {
				return nil, "", err
			}
			template = string(b)
		}
	}
	if command == nil || template == "" {
		return nil, "", fmt.Errorf("deploy file without run or template")
	}
	return command, template, nil
}

// newFronts returns the machines of the small deployment: four in three zones, each with a loopback address of its own,
// and the same ports.
func newFronts(root, dir, storeAddress string) ([]*front, error) {
	command, template, err := readDeploy(root)
	if err != nil {
		return nil, err
	}
	net1, net2 := 16+rand.IntN(200), 1+rand.IntN(250)
	ports := make([]int, 3)
	for i := range ports {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", net1, net2))
		if err != nil {
			return nil, err
		}
		ports[i] = l.Addr().(*net.TCPAddr).Port
		defer l.Close()
	}
	var out []*front
	for i, m := range []struct {
		zone   string
		memory int
		cores  int
		link   float64
	}{{"fort-davis", 414, 1, 1500}, {"fort-davis", 414, 1, 1500}, {"alpine", 804, 2, 3000}, {"marfa", 544, 1, 2000}} {
		f := &front{
			name: fmt.Sprintf("front-%s-%d", m.zone, i+1), zone: m.zone, ip: fmt.Sprintf("127.%d.%d.%d", net1, net2, i+1),
			command: command, root: root,
		}
		f.address, f.ready = fmt.Sprintf("%s:%d", f.ip, ports[0]), fmt.Sprintf("%s:%d", f.ip, ports[1])
		f.settings, f.log = filepath.Join(dir, f.name+".json"), filepath.Join(dir, f.name+".log")
		text, err := render(template, map[string]any{
			"nodeName": f.name, "zone": f.zone, "ip": f.ip, "portRange": []any{ports[2], ports[2]}, "bootstrap": true,
			"listen":   map[string]any{"front": f.address, "ready": f.ready},
			"platform": map[string]any{"address": storeAddress, "readsPerS": 2000, "writesPerS": 400, "ttlMinMs": 1000},
			"limits":   map[string]any{"cores": m.cores, "memoryMb": m.memory, "linkMbps": m.link},
			"bounds":   map[string]any{"graceS": 8, "drainMs": 2000, "retryBudgetRatio": 0.2, "retrySlack": 107, "budgetWindowS": 10},
		})
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(f.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		out = append(out, f)
	}
	return out, nil
}

// start starts the process.
func (f *front) start() error {
	log, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p := exec.Command(filepath.Join(f.root, f.command[0]), f.command[1:]...)
	p.Dir, p.Stdout, p.Stderr = f.root, log, log
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "AMARANTHMILL_NODE_FILE=" + f.settings}
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	f.process, f.ended = p, make(chan struct{})
	go func(ended chan struct{}) {
		_ = p.Wait() // a process that is killed returns an error
		close(ended)
	}(f.ended)
	return nil
}

// stop ends the process.
func (f *front) stop() {
	if f.process == nil {
		return
	}
	_ = f.process.Process.Kill() // it may have ended
	<-f.ended
}

// isReady asks the process as the platform does.
func (f *front) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + f.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all fronts are ready.
func awaitReady(fronts []*front, limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, f := range fronts {
		for !f.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", f.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
