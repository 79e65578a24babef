package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// buildSidecar builds the sidecar program in the folder dir and returns its path. The current directory
// must be in the repository.
func buildSidecar(ctx context.Context, dir string) (string, error) {
	root, err := exec.CommandContext(ctx, "go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", fmt.Errorf("lab: the current directory must be in the repository: %w", err)
	}
	program := filepath.Join(dir, "barleydrum")
	c := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/barleydrum")
	c.Dir = strings.TrimSpace(string(root))
	if text, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("lab: building the sidecar program: %w\n%s", err, text)
	}
	return program, nil
}

// process is a child process with an HTTP server.
type process struct {
	name, addr string
	cmd        *exec.Cmd
	logFile    *os.File
	exited     chan struct{} // closed after the process has exited
	waitErr    error         // result of cmd.Wait; valid after exited is closed
}

// startProcess starts a program that will listen on addr. Its output goes to the file name.log in dir; env
// is added to the lab's own environment. It returns without waiting until the program listens.
func startProcess(dir, name, addr, program string, args, env []string) (*process, error) {
	logFile, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	c := exec.Command(program, args...)
	c.Env = append(os.Environ(), env...)
	c.Stdout, c.Stderr = logFile, logFile
	if err := c.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("lab: %s: %w", name, err), logFile.Close())
	}
	p := &process{name: name, addr: addr, cmd: c, logFile: logFile, exited: make(chan struct{})}
	go func() {
		p.waitErr = c.Wait()
		logFile.Close()
		close(p.exited)
	}()
	return p, nil
}

// waitReady waits until the process responds to its health check with 200. It returns an error if the
// process exits or ctx ends before.
func (p *process) waitReady(ctx context.Context) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addr+"/healthz", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-p.exited:
			return fmt.Errorf("lab: %s exited: %w; see %s", p.name, p.waitErr, p.logFile.Name())
		case <-ctx.Done():
			return fmt.Errorf("lab: %s is not ready: %w; see %s", p.name, ctx.Err(), p.logFile.Name())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// kill stops the process with SIGKILL, without a shutdown, as when a machine fails, and waits for its
// exit.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.exited
}

// stop stops the process with SIGTERM. It allows a request's deadline and 5 s for the exit, then kills the
// process. It returns an error unless the process exits in time and with status 0.
func (p *process) stop() error {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(deadlineMS*time.Millisecond + 5*time.Second):
		p.kill()
		return fmt.Errorf("lab: %s did not exit on SIGTERM", p.name)
	}
	if p.waitErr != nil {
		return fmt.Errorf("lab: %s: %w; see %s", p.name, p.waitErr, p.logFile.Name())
	}
	return nil
}

// residentKB returns the resident memory of the running process in KB.
func (p *process) residentKB() (int64, error) { return p.statusKB("VmRSS:") }

// peakKB returns the peak resident memory of the running process in KB. The rusage of an exited child is
// not used because the kernel includes the parent's memory at the fork in it.
func (p *process) peakKB() (int64, error) { return p.statusKB("VmHWM:") }

// statusKB returns the value of a line of /proc/PID/status in KB; field is the line's name with its colon.
func (p *process) statusKB(field string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("lab: %s: %w", p.name, err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			return strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
		}
	}
	return 0, fmt.Errorf("lab: %s: /proc status has no %s", p.name, field)
}

// cpuTime returns the CPU time that the process has used. It must have exited.
func (p *process) cpuTime() time.Duration {
	s := p.cmd.ProcessState
	return s.UserTime() + s.SystemTime()
}
