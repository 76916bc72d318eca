package fleet

import (
	"os"
	"os/exec"
	"syscall"
)

// child is a started process that can be stopped in several ways.
type child struct {
	program   string
	arguments []string
	command   *exec.Cmd
}

func (c *child) start(program string, arguments []string) error {
	c.program, c.arguments = program, arguments
	return c.Restart()
}

// Restart starts the process again with the same arguments. It must not be running.
func (c *child) Restart() error {
	c.command = exec.Command(c.program, c.arguments...)
	c.command.Stderr = os.Stderr
	return c.command.Start()
}

// PID returns the process's id.
func (c *child) PID() int { return c.command.Process.Pid }

// Kill ends the process at once and waits for its end.
func (c *child) Kill() error {
	if c.command == nil || c.command.Process == nil {
		return os.ErrProcessDone
	}
	if err := c.command.Process.Kill(); err != nil {
		return err
	}
	_ = c.command.Wait() // reports the kill
	return nil
}

// Terminate asks the process to stop and waits for its end.
func (c *child) Terminate() error {
	if err := c.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return c.command.Wait()
}

// Freeze pauses the process.
func (c *child) Freeze() error { return c.command.Process.Signal(syscall.SIGSTOP) }

// Thaw continues a frozen process.
func (c *child) Thaw() error { return c.command.Process.Signal(syscall.SIGCONT) }
