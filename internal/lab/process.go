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

// buildSidecar builds the program into a folder and returns its path.
func buildSidecar(ctx context.Context, dir string) (string, error) {
	root, err := exec.CommandContext(ctx, "go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", fmt.Errorf("lab: run it from the repository: %w", err)
	}
	program := filepath.Join(dir, "barleydrum")
	c := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/barleydrum")
	c.Dir = strings.TrimSpace(string(root))
	if text, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("lab: build: %w\n%s", err, text)
	}
	return program, nil
}

// process is a program that runs until it is stopped.
type process struct {
	name, addr string
	cmd        *exec.Cmd
	logFile    *os.File
	exited     chan struct{}
	waitErr    error // once done
}

// startProcess starts a process that serves an address.
func startProcess(dir, name, addr, program string, args, env []string) (*process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	c := exec.Command(program, args...)
	c.Env = append(os.Environ(), env...)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("lab: %s: %w", name, err), log.Close())
	}
	p := &process{name: name, addr: addr, cmd: c, logFile: log, exited: make(chan struct{})}
	go func() {
		p.waitErr = c.Wait()
		log.Close()
		close(p.exited)
	}()
	return p, nil
}

// waitReady waits until the process answers its health check.
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
			return fmt.Errorf("lab: %s ended: %w; see %s", p.name, p.waitErr, p.logFile.Name())
		case <-ctx.Done():
			return fmt.Errorf("lab: %s is not ready: %w; see %s", p.name, ctx.Err(), p.logFile.Name())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// kill ends the process at once, as a machine that fails does.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.exited
}

// stop ends the process by SIGTERM, and by SIGKILL if that takes too long.
func (p *process) stop() error {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(deadlineMS*time.Millisecond + 5*time.Second):
		p.kill()
		return fmt.Errorf("lab: %s did not end on SIGTERM", p.name)
	}
	if p.waitErr != nil {
		return fmt.Errorf("lab: %s: %w; see %s", p.name, p.waitErr, p.logFile.Name())
	}
	return nil
}

// residentKB is the memory that the process has in use, in KB.
func (p *process) residentKB() (int64, error) { return p.statusKB("VmRSS:") }

// peakKB is the most that it has had in use, in KB. What the kernel tells of a child that has
// ended counts the parent's memory at the fork too.
func (p *process) peakKB() (int64, error) { return p.statusKB("VmHWM:") }

// statusKB reads a line of /proc/PID/status, in KB.
func (p *process) statusKB(name string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("lab: %s: %w", p.name, err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			return strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
		}
	}
	return 0, fmt.Errorf("lab: %s: no %s", p.name, name)
}

// cpuTime is the CPU time that the process has used; it has ended.
func (p *process) cpuTime() time.Duration {
	s := p.cmd.ProcessState
	return s.UserTime() + s.SystemTime()
}
