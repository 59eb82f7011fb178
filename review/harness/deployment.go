package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/platform/standin"
)

// deployment is a small deployment: the project's stand-in for the platform and its workers, and one process
// of the system for each entry VM, started with the command of the deploy file.
type deployment struct {
	*standin.Site
	vms       []standin.VM
	processes []*exec.Cmd
	command   []string
	logs      []*os.File
	folder    string
}

// children holds the processes that run, so that they can be ended if the program is.
var children = struct {
	sync.Mutex
	running map[*os.Process]bool
}{running: map[*os.Process]bool{}}

// killChildren ends all processes that this program has started.
func killChildren() {
	children.Lock()
	defer children.Unlock()
	for child := range children.running {
		_ = child.Kill()
	}
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// startDeployment starts n entry VMs and waits until all are ready and know each other.
func startDeployment(folder string, n int, prepare func(*standin.Site)) (*deployment, error) {
	return startDeploymentWith(folder, n, prepare, nil)
}

// startDeploymentWith is startDeployment with a function that may change the settings files before the processes
// start; nil for none.
func startDeploymentWith(folder string, n int, prepare func(*standin.Site), settings func(*deployment) error) (*deployment, error) {
	file, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(file)
	if match == nil {
		return nil, fmt.Errorf("no command in deploy/system.toml")
	}
	site, err := standin.NewSite("127.0.0.1")
	if err != nil {
		return nil, err
	}
	d := &deployment{Site: site, command: strings.Fields(string(match[1])), folder: folder}
	if prepare != nil {
		prepare(site)
	}
	base, err := standin.FreeLoopback(n)
	if err != nil {
		return nil, err
	}
	if d.vms, err = site.WriteVMSettings(folder, base, n); err != nil {
		return nil, err
	}
	d.processes = make([]*exec.Cmd, n)
	if settings != nil {
		if err := settings(d); err != nil {
			return nil, err
		}
	}
	if err := d.setBootstrap(true); err != nil {
		return nil, err
	}
	for i := range d.vms {
		if err := d.start(i); err != nil {
			d.stop()
			return nil, err
		}
	}
	for limit := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range d.vms {
			if v.IsReady() {
				ready++
			}
		}
		if ready == n {
			break
		}
		if time.Now().After(limit) {
			d.stop()
			return nil, fmt.Errorf("%d of %d VMs are ready", ready, n)
		}
	}
	time.Sleep(4 * time.Second) // until the processes know each other and the retry budget is settled
	return d, d.setBootstrap(false)
}

// setBootstrap says in the settings files whether the system starts for the first time.
func (d *deployment) setBootstrap(first bool) error {
	for _, v := range d.vms {
		text, err := os.ReadFile(v.Settings)
		if err != nil {
			return err
		}
		text = bytes.ReplaceAll(text, []byte("bootstrap = true\n"), nil)
		if first {
			text = append([]byte("bootstrap = true\n"), text...)
		}
		if err := os.WriteFile(v.Settings, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of a VM.
func (d *deployment) start(i int) error {
	log, err := os.OpenFile(filepath.Join(d.folder, d.vms[i].Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.logs = append(d.logs, log)
	cmd := exec.Command(d.command[0], d.command[1:]...)
	cmd.Env = append(cmd.Environ(), "VANILLAGATE_SETTINGS="+d.vms[i].Settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	d.processes[i] = cmd
	children.Lock()
	defer children.Unlock()
	children.running[cmd.Process] = true
	return nil
}

// kill ends the process of a VM with SIGKILL.
func (d *deployment) kill(i int) {
	cmd := d.processes[i]
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	children.Lock()
	defer children.Unlock()
	delete(children.running, cmd.Process)
	d.processes[i] = nil
}

// stop ends all processes and the stand-ins.
func (d *deployment) stop() {
	for i := range d.processes {
		d.kill(i)
	}
	for _, log := range d.logs {
		_ = log.Close()
	}
	d.Close()
}
