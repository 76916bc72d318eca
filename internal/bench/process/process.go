// Package process starts programs for benches and soaks, and stops, freezes and
// kills just those that it started.
package process

import (
	"io"
	"os"
	"os/exec"
	"syscall"
)

// Process is a started process that can be stopped in several ways.
type Process struct {
	// Output takes what the program writes to standard output; nil discards it.
	Output io.Writer

	program   string
	arguments []string
	command   *exec.Cmd
}

// Start starts a program.
func (c *Process) Start(program string, arguments []string) error {
	c.program, c.arguments = program, arguments
	return c.Restart()
}

// Restart starts the process again with the same arguments. It must not be running.
func (c *Process) Restart() error {
	c.command = exec.Command(c.program, c.arguments...)
	c.command.Stdout, c.command.Stderr = c.Output, os.Stderr
	return c.command.Start()
}

// PID returns the process's id.
func (c *Process) PID() int { return c.command.Process.Pid }

// Kill ends the process at once and waits for its end.
func (c *Process) Kill() error {
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
func (c *Process) Terminate() error {
	if err := c.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return c.command.Wait()
}

// Freeze pauses the process.
func (c *Process) Freeze() error { return c.command.Process.Signal(syscall.SIGSTOP) }

// Thaw continues a frozen process.
func (c *Process) Thaw() error { return c.command.Process.Signal(syscall.SIGCONT) }

// Signal sends a signal to the process.
func (c *Process) Signal(s syscall.Signal) error { return c.command.Process.Signal(s) }

// Wait waits for the end of the process.
func (c *Process) Wait() error { return c.command.Wait() }
