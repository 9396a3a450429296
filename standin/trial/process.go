package trial

import (
	"errors"
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

// lastLinesSize is how many bytes of a log an EndedError holds at most.
const lastLinesSize = 2 << 10

// EndedError says that a process ended which the trial had not ended.
type EndedError struct {
	Process   string
	State     string // the exit code or the signal
	LastLines string // of the process's log
}

// Error returns the process, how it ended and the end of its log.
func (e *EndedError) Error() string {
	return fmt.Sprintf("trial: %s ended by itself (%s); the end of its log:\n%s", e.Process, e.State, e.LastLines)
}

// process is one process that the trial started.
type process struct {
	name string
	log  string // the path of its log file
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
	path := filepath.Join(ps.dir, name+".log")
	log, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, log: path, cmd: exec.Command(program, args...), done: make(chan struct{})}
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

// thaw lets a frozen process go on. It fails with an EndedError if the process ended meanwhile.
func (p *process) thaw() error {
	err := p.cmd.Process.Signal(syscall.SIGCONT)
	if errors.Is(err, os.ErrProcessDone) {
		<-p.done
		return &EndedError{Process: p.name, State: p.cmd.ProcessState.String(), LastLines: p.lastLines()}
	}
	return err
}

// lastLines returns the end of the process's log, or why it can't be read.
func (p *process) lastLines() string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-lastLinesSize):])
}

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
