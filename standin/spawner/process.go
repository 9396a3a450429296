package spawner

import (
	"bytes"
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

// EndedError says that a process ended that was not to end.
type EndedError struct {
	Process   string
	State     string // the exit code or the signal
	LastLines string // of the process's log
}

// Error returns the process, how it ended and the end of its log.
func (e *EndedError) Error() string {
	return fmt.Sprintf("spawner: %s ended by itself (%s); the end of its log:\n%s", e.Process, e.State, e.LastLines)
}

// Process is one process that was started.
type Process struct {
	name string
	log  string // the path of its log file
	from int64  // where its own part of the log begins
	cmd  *exec.Cmd
	done chan struct{}
	err  error // of the process, once done is closed
}

// Processes are all that were started. It is safe for concurrent use.
type Processes struct {
	Dir string // of the log files

	mu  sync.Mutex
	all []*Process
}

// Start starts a program with its output in a log file of its name.
func (ps *Processes) Start(name, program string, args ...string) (*Process, error) {
	path := filepath.Join(ps.Dir, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) // a program that starts again goes on in its log
	if err != nil {
		return nil, err
	}
	info, err := log.Stat()
	if err != nil {
		return nil, err
	}
	p := &Process{name: name, log: path, from: info.Size(), cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("spawner: start %s: %w", name, err)
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

// Kill ends a process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate asks a process to stop and returns its exit code.
func (p *Process) Terminate() (int, error) {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return -1, err
	}
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(stopWait):
		return -1, fmt.Errorf("spawner: %s did not stop within %s", p.name, stopWait)
	}
}

// Signal sends a signal to the process, if it still runs.
func (p *Process) Signal(s os.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// Freeze stops the process without its knowledge.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on. It fails with an EndedError if the process ended meanwhile.
func (p *Process) Thaw() error {
	err := p.cmd.Process.Signal(syscall.SIGCONT)
	if errors.Is(err, os.ErrProcessDone) {
		<-p.done
		return p.ended()
	}
	return err
}

// HasWritten reports whether the process has written a text.
func (p *Process) HasWritten(text string) bool {
	b, err := os.ReadFile(p.log)
	return err == nil && int64(len(b)) >= p.from && bytes.Contains(b[p.from:], []byte(text))
}

// ended describes the end of the process.
func (p *Process) ended() *EndedError {
	return &EndedError{Process: p.name, State: p.cmd.ProcessState.String(), LastLines: p.lastLines()}
}

// lastLines returns the end of the process's log, or why it can't be read.
func (p *Process) lastLines() string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-lastLinesSize):])
}

// IsRunning reports whether the process has not ended.
func (p *Process) IsRunning() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Ended returns how each process ended that does not run any more.
func (ps *Processes) Ended() []EndedError {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var out []EndedError
	for _, p := range ps.all {
		if !p.IsRunning() {
			out = append(out, *p.ended())
		}
	}
	return out
}

// KillAll kills all processes that still run.
func (ps *Processes) KillAll() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.all {
		if p.IsRunning() {
			p.Kill()
		}
	}
}
