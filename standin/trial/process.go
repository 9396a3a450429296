package trial

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// stopWait is how long a process may take to end after a signal.
const stopWait = 70 * time.Second

// process is one process that the trial started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error // of the process, once done is closed
}

// processes are all that the trial started. It is safe for concurrent use.
type processes struct {
	dir string // of the log files

	mu  sync.Mutex
	all []*process
}

// start starts a program with its output in a log file of its name.
func (ps *processes) start(name, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(ps.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("trial: start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		log.Close()
		close(p.done)
	}()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.all = append(ps.all, p)
	return p, nil
}

// kill ends a process at once.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// terminate asks a process to stop and returns its exit code.
func (p *process) terminate() (int, error) {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return -1, err
	}
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(stopWait):
		return -1, fmt.Errorf("trial: %s did not stop within %s", p.name, stopWait)
	}
}

// freeze stops the process without its knowledge.
func (p *process) freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// thaw lets a frozen process go on.
func (p *process) thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// stopAll kills what still runs.
func (ps *processes) stopAll() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.all {
		if p.running() {
			p.kill()
		}
	}
}
