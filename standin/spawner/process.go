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

// stopTimeout is how long a process may take to end after SIGTERM.
const stopTimeout = 70 * time.Second

// lastLinesSize is the maximum number of log bytes in an EndedError.
const lastLinesSize = 2 << 10

// EndedError reports that a process ended unexpectedly.
type EndedError struct {
	Process   string
	State     string // the exit code or the signal, such as "signal: killed"
	LastLines string // the last lastLinesSize bytes of the process's log
}

// Error returns the name of the process, how it ended and the end of its log.
func (e *EndedError) Error() string {
	return fmt.Sprintf("spawner: process %s ended unexpectedly (%s); the end of its log:\n%s", e.Process, e.State, e.LastLines)
}

// Process is a process that Start started.
type Process struct {
	name     string
	logPath  string // path of the log file
	logStart int64  // offset in the log file at which this process's output starts
	cmd      *exec.Cmd
	done     chan struct{}
	err      error // result of waiting for the process; valid after done is closed
}

// Processes holds all processes that Start started. It is safe for concurrent use.
type Processes struct {
	Dir string // folder of the log files

	mu  sync.Mutex
	all []*Process
}

// Start starts a program and appends its output to the log file NAME.log in Dir.
func (ps *Processes) Start(name, program string, args ...string) (*Process, error) {
	path := filepath.Join(ps.Dir, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) // a restarted program appends to the log of its previous process
	if err != nil {
		return nil, err
	}
	info, err := log.Stat()
	if err != nil {
		return nil, err
	}
	p := &Process{name: name, logPath: path, logStart: info.Size(), cmd: exec.Command(program, args...), done: make(chan struct{})}
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

// ID returns the ID that the system gave the process.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate sends SIGTERM to the process and returns its exit code. It returns an error if the
// process does not end within stopTimeout.
func (p *Process) Terminate() (int, error) {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return -1, err
	}
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(stopTimeout):
		return -1, fmt.Errorf("spawner: %s did not stop within %s", p.name, stopTimeout)
	}
}

// Signal sends a signal to the process, if it is still running.
func (p *Process) Signal(s os.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// Freeze suspends the process with SIGSTOP, which the process can't handle.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process. It returns an EndedError if the process ended while it was
// frozen.
func (p *Process) Thaw() error {
	err := p.cmd.Process.Signal(syscall.SIGCONT)
	if errors.Is(err, os.ErrProcessDone) {
		<-p.done
		return p.endedError()
	}
	return err
}

// HasWritten reports whether the process has written text to its log. Output of earlier
// processes with the same log is ignored.
func (p *Process) HasWritten(text string) bool {
	b, err := os.ReadFile(p.logPath)
	return err == nil && int64(len(b)) >= p.logStart && bytes.Contains(b[p.logStart:], []byte(text))
}

// endedError returns an error that describes how the process ended.
func (p *Process) endedError() *EndedError {
	return &EndedError{Process: p.name, State: p.cmd.ProcessState.String(), LastLines: p.lastLines()}
}

// lastLines returns the end of the process's log, or the error if the log can't be read.
func (p *Process) lastLines() string {
	b, err := os.ReadFile(p.logPath)
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

// Ended describes how each process that is no longer running ended.
func (ps *Processes) Ended() []EndedError {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var out []EndedError
	for _, p := range ps.all {
		if !p.IsRunning() {
			out = append(out, *p.endedError())
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
