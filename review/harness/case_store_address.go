package main

import (
	"bytes"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/vanillagate/vanillagate/platform/standin"
)

func init() { cases["store-address"] = storeAddress }

// applyTime is config-apply-ms.
const applyTime = 2 * time.Second

// storeAddress has the platform change the store's address in the settings files. The store answers at both
// addresses for 10 s, then at the new one only. Later versions of the configuration must still come into force.
func storeAddress(r *record, folder string, trouble bool) (int, error) {
	var before, after *proxy
	var startErr error
	d, err := startDeploymentWith(folder, 3, func(s *standin.Site) {
		if before, startErr = startProxy(s.Store.Address()); startErr == nil {
			after, startErr = startProxy(s.Store.Address())
		}
	}, func(d *deployment) error {
		if startErr != nil {
			return startErr
		}
		return d.replaceInSettings(d.Store.Address(), before.address())
	})
	if before != nil {
		defer before.close()
	}
	if after != nil {
		defer after.close()
	}
	if err != nil {
		return 0, err
	}
	defer d.stop()
	if trouble {
		r.line("the settings files change: the store's address is %s instead of %s", after.address(), before.address())
		if err := d.replaceInSettings(before.address(), after.address()); err != nil {
			return 0, err
		}
		r.line("SIGHUP to the process of %s", d.vms[0].Name)
		_ = d.processes[0].Process.Signal(syscall.SIGHUP)
	}
	time.Sleep(10 * time.Second)
	if trouble {
		r.line("the store no longer answers at %s", before.address())
		before.close()
	}
	time.Sleep(5 * time.Second)
	d.Publish(func(config map[string]any) {
		config["tenants"] = []any{map[string]any{"name": "team", "api-keys": []string{"another key"}}}
	})
	acknowledged := time.Now()
	r.line("a version without the key is acknowledged")
	time.Sleep(applyTime + time.Second)
	broken := 0
	for try := range 12 {
		id := newID()
		i := try % len(d.vms)
		lines := []headerLine{{"X-Attempt-Id", id}, {"X-Api-Key", standin.TeamKey}, {"X-Deadline-Ms", "1500"}}
		sent := time.Since(acknowledged)
		got := send(d.vms[i].RequestAddress(), "/book/x", lines, "booking", 3*time.Second, nil)
		r.line("request %s with the dropped key, sent to %s %.1f s after the acknowledgement: answered %d", id, d.vms[i].Name, sent.Seconds(), got.status)
		if got.status == http.StatusOK {
			broken++
			r.line("CONFIG broken: request %s ran with a dropped key", id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return broken, nil
}

// replaceInSettings replaces a text in the settings files of all VMs.
func (d *deployment) replaceInSettings(old, text string) error {
	for _, v := range d.vms {
		content, err := os.ReadFile(v.Settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(v.Settings, bytes.ReplaceAll(content, []byte(old), []byte(text)), 0o600); err != nil {
			return err
		}
	}
	return nil
}
