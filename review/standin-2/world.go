package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and limits of the deployment, as on the sheets of the small installations.
const (
	drainMs          = 2000
	graceS           = 8
	configDeadline   = 2000 * time.Millisecond
	lossSlack        = 200 * time.Millisecond
	stableWindow     = 3000 * time.Millisecond
	key              = "k-observatory"
	tenant           = "observatory"
	host             = "mill.example"
	program          = "target/amaranthmill"
	readinessTimeout = 20 * time.Second
)

// giveUp ends the case because it can't run.
func giveUp(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	stopAll()
	os.Exit(2)
}

var (
	startedMu sync.Mutex
	started   []*exec.Cmd
)

// stopAll kills all processes that the case has started and that still run.
func stopAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, c := range started {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
	}
}

// world is the platform with its engines, and the processes of the system.
type world struct {
	store   *store
	models  map[string]model
	dir     string
	root    string
	startAt time.Time
	trouble bool

	mu        sync.Mutex
	log       []string
	engines   []*engine
	arrivals  []*arrival
	traffic   bool // requests have been sent
	instances []*instance
	requests  []*request
	broken    []string
}

func newWorld() *world {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		giveUp("%v", err)
	}
	root, err := os.Getwd()
	if err != nil {
		giveUp("%v", err)
	}
	w := &world{models: map[string]model{}, dir: dir, root: root, startAt: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	w.store = newStore()
	return w
}

// early reports whether no request has been sent yet, so that loads take a tenth of their time.
func (w *world) early() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.traffic
}

func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s", time.Since(w.startAt).Seconds(), fmt.Sprintf(format, args...))
	w.mu.Lock()
	w.log = append(w.log, line)
	w.mu.Unlock()
}

func (w *world) noteArrival(a *arrival) {
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	verb := "turned away"
	if a.ran {
		verb = "runs"
	}
	w.note("engine %s %s request %s %s", a.engine, verb, a.id, a.path)
}

func (w *world) noteAnswered(a *arrival) {
	w.mu.Lock()
	a.answered = time.Now()
	w.mu.Unlock()
	w.note("engine %s has answered request %s", a.engine, a.id)
}

// instance is one process of the system.
type instance struct {
	w                                      *world
	name, zone                             string
	front, ready, peers, metrics, settings string
	cmd                                    *exec.Cmd
	done                                   chan struct{}
	exitedAt                               time.Time
	bootstrap                              bool
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		giveUp("%v", err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// addInstance starts a process of the system on an address of its own, with the settings that the template of the deploy
// file gives.
func (w *world) addInstance(name, zone string) *instance {
	w.mu.Lock()
	ip := fmt.Sprintf("127.0.0.%d", 11+len(w.instances))
	w.mu.Unlock()
	i := &instance{w: w, name: name, zone: zone, bootstrap: true}
	address := func() string { return fmt.Sprintf("%s:%d", ip, freePort(ip)) }
	i.front, i.ready, i.peers = address(), address(), address()
	i.settings = filepath.Join(w.dir, name+".json")
	i.metrics = address()
	w.mu.Lock()
	w.instances = append(w.instances, i)
	w.mu.Unlock()
	i.start()
	return i
}

// writeSettings writes the settings file of the process.
func (i *instance) writeSettings() {
	w := i.w
	text, _ := json.Marshal(map[string]any{
		"instance": i.name, "failureDomain": i.zone,
		"listen":     map[string]any{"callers": i.front, "readiness": i.ready, "readinessPath": "/v1/ready", "peers": i.peers, "metrics": i.metrics},
		"store":      map[string]any{"address": w.store.addr, "readsPerSecond": 2000, "writesPerSecond": 400, "leaseMin": "1000ms"},
		"machine":    map[string]any{"cores": 1, "memoryMB": 414, "linkMbps": 1500},
		"bounds":     map[string]any{"stopLimit": fmt.Sprintf("%ds", graceS), "drainTime": fmt.Sprintf("%dms", drainMs), "retryRatio": 0.2, "retrySlack": 107, "retryWindow": "10s"},
		"firstStart": i.bootstrap, "log": map[string]any{"level": "info"},
	})
	if err := os.WriteFile(i.settings, text, 0o600); err != nil {
		giveUp("%v", err)
	}
}

// start starts the process as the deploy file does.
func (i *instance) start() {
	i.writeSettings()
	out, err := os.OpenFile(filepath.Join(i.w.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		giveUp("%v", err)
	}
	c := exec.Command(filepath.Join(i.w.root, program), "--hosted")
	c.Dir, c.Stdout, c.Stderr = i.w.root, out, out
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "AMARANTHMILL_NODE_FILE=" + i.settings}
	if err := c.Start(); err != nil {
		giveUp("start %s: %v", program, err)
	}
	startedMu.Lock()
	started = append(started, c)
	startedMu.Unlock()
	done := make(chan struct{})
	i.w.mu.Lock()
	i.cmd, i.done, i.exitedAt = c, done, time.Time{}
	i.w.mu.Unlock()
	i.w.note("process %s starts", i.name)
	go func() {
		err := c.Wait()
		out.Close()
		i.w.mu.Lock()
		i.exitedAt = time.Now()
		i.w.mu.Unlock()
		i.w.note("process %s has ended: %v", i.name, err)
		close(done)
	}()
}

// awaitReady waits until all processes are ready.
func (w *world) awaitReady() {
	end := time.Now().Add(readinessTimeout)
	for _, i := range w.instances {
		for {
			resp, err := http.Get("http://" + i.ready + "/v1/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				giveUp("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// kill kills the process and starts it again after a delay, as the platform does.
func (i *instance) kill(delay time.Duration) {
	i.w.note("process %s is killed", i.name)
	_ = i.cmd.Process.Kill()
	<-i.done
	time.Sleep(delay)
	i.bootstrap = false
	i.start()
}

// exited returns when the process ended, or the zero time.
func (i *instance) exited() time.Time {
	i.w.mu.Lock()
	defer i.w.mu.Unlock()
	return i.exitedAt
}

// holder returns the process that forms groups, by its orders' sender as the store shows it, or nil.
func (w *world) holder() *instance {
	it, ok := w.store.get("mill/forming")
	if !ok {
		return nil
	}
	text := string(it.Value)
	if _, rest, ok := strings.Cut(text, "\n"); ok {
		text = rest
	}
	for _, i := range w.instances {
		if strings.HasPrefix(text, i.name+"/") {
			return i
		}
	}
	return nil
}

// request is one attempt of a client.
type request struct {
	id, path, instance string
	sentAt, endedAt    time.Time
	status             int
	seal               string
	body               string
	complete           bool // a complete answer came
	err                string
}

var requestCount struct {
	sync.Mutex
	n int
}

// client is a client with channels of its own that it keeps.
type client struct {
	w    *world
	http *http.Client
}

func (w *world) newClient() *client {
	return &client{w: w, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}
}

// send sends one request to an instance and waits for its end.
func (c *client) send(i *instance, method, path string, body []byte, timeLeft time.Duration, header map[string]string) *request {
	requestCount.Lock()
	requestCount.n++
	q := &request{id: fmt.Sprintf("%016x", requestCount.n), path: path, instance: i.name}
	requestCount.Unlock()
	r, err := http.NewRequest(method, "http://"+i.front+path, bytes.NewReader(body))
	if err != nil {
		giveUp("%v", err)
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", q.id)
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("X-Deadline-Remaining", fmt.Sprint(timeLeft.Milliseconds()))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	c.w.mu.Lock()
	c.w.traffic = true
	c.w.requests = append(c.w.requests, q)
	c.w.mu.Unlock()
	q.sentAt = time.Now()
	c.w.note("client sends request %s %s %s to %s", q.id, method, path, i.name)
	resp, err := c.http.Do(r)
	if err == nil {
		q.status, q.seal = resp.StatusCode, resp.Header.Get("X-Server-Seal")
		var text []byte
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		q.body, q.complete = string(text), err == nil
	}
	q.endedAt = time.Now()
	if err != nil {
		q.err = err.Error()
	}
	c.w.note("client got for request %s: status %d, complete %t, after %d ms %s", q.id, q.status, q.complete, q.endedAt.Sub(q.sentAt).Milliseconds(), q.err)
	return q
}

// runsOf returns the arrivals of a request that ran.
func (w *world) runsOf(id string) []*arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*arrival
	for _, a := range w.arrivals {
		if a.id == id && a.ran {
			out = append(out, a)
		}
	}
	return out
}

// finish writes the record, ends all processes and exits with 1 if the rule was broken.
func (w *world) finish(folder string, broken []string) {
	stopAll()
	for _, i := range w.instances {
		<-i.done
	}
	time.Sleep(50 * time.Millisecond)
	w.mu.Lock()
	text := strings.Join(w.log, "\n") + "\n"
	w.mu.Unlock()
	for _, b := range broken {
		text += "BROKEN: " + b + "\n"
	}
	if len(broken) == 0 {
		text += "the rule held\n"
	}
	record, err := os.OpenFile(filepath.Join(folder, "record.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		giveUp("%v", err)
	}
	_, _ = record.WriteString(text)
	record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
	fmt.Printf("%d requests, %d breaks\n", len(w.requests), len(broken))
	for _, b := range broken[:min(len(broken), 5)] {
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMs, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "latencyGoalMs": 400, "gapTargetMs": 300, "priority": 1,
		"service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "stream", "resumable": resumable,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "maxConns": 110, "healthPath": "/health"}
}

func (w *world) modelService(name string, models ...model) map[string]any {
	var list []map[string]any
	for _, m := range models {
		w.models[m.name] = m
		list = append(list, map[string]any{"name": m.name, "size": m.size, "share": m.share, "pace": m.pace, "loadS": m.load.Seconds(), "warmS": m.warm.Seconds()})
	}
	return map[string]any{"name": name, "maxConns": 278, "engine": map[string]any{
		"slots": 17, "models": list, "step_ms": 7.8, "per_seq_ms": 0.0947, "read_per_s": 45900, "loadsPerS": 5, "loads_at_once": 7, "stride": 5, "keeps": 1, "formMs": formTime.Milliseconds(),
		"usual": map[string]any{"prompt": 1000, "answer": 160},
	}}
}

// configure writes a version of the configuration and returns when the store has acknowledged it.
func (w *world) configure(version int, routes, services []map[string]any) time.Time {
	at := w.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{key}}},
	})
	w.note("operator: version %d is acknowledged", version)
	return at
}
