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

// build builds the program into a folder and returns its path.
func build(ctx context.Context, dir string) (string, error) {
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
	log        *os.File
	done       chan struct{}
	err        error // once done
}

// begin starts a process that serves an address.
func begin(dir, name, addr, program string, args, env []string) (*process, error) {
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
	p := &process{name: name, addr: addr, cmd: c, log: log, done: make(chan struct{})}
	go func() {
		p.err = c.Wait()
		log.Close()
		close(p.done)
	}()
	return p, nil
}

// ready waits until the process answers its health check.
func (p *process) ready(ctx context.Context) error {
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
		case <-p.done:
			return fmt.Errorf("lab: %s ended: %w; see %s", p.name, p.err, p.log.Name())
		case <-ctx.Done():
			return fmt.Errorf("lab: %s is not ready: %w; see %s", p.name, ctx.Err(), p.log.Name())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// kill ends the process at once, as a machine that fails does.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// stop ends the process by SIGTERM, and by SIGKILL if that takes too long.
func (p *process) stop() error {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(deadlineMS*time.Millisecond + 5*time.Second):
		p.kill()
		return fmt.Errorf("lab: %s did not end on SIGTERM", p.name)
	}
	if p.err != nil {
		return fmt.Errorf("lab: %s: %w; see %s", p.name, p.err, p.log.Name())
	}
	return nil
}

// resident is the memory that the process has in use, in KB.
func (p *process) resident() (int64, error) { return p.status("VmRSS:") }

// peak is the most that it has had in use, in KB. What the kernel tells of a child that has
// ended counts the parent's memory at the fork too.
func (p *process) peak() (int64, error) { return p.status("VmHWM:") }

// status reads a line of /proc/PID/status, in KB.
func (p *process) status(name string) (int64, error) {
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

// used is the CPU time that the process has used; it has ended.
func (p *process) used() time.Duration {
	s := p.cmd.ProcessState
	return s.UserTime() + s.SystemTime()
}
