package demo

import (
	_ "embed"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/stand/listsv"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
)

//go:embed routes.jsonc
var routes []byte

// place is where a process runs.
type place struct{ name, pool, dc string }

var (
	instances = []place{{"i1", "", "dk-east-1"}, {"i2", "", "dk-east-1"}, {"i3", "", "dk-west-1"}}
	servers   = []place{
		{"s1", "stock", "dk-east-1"},
		{"s2", "stock", "dk-east-1"},
		{"s3", "stock", "dk-east-1"},
		{"s4", "stock", "dk-west-1"},
		{"s5", "stock", "dk-west-1"},
		{"c1", "cut", "dk-east-1"},
		{"c2", "cut", "dk-west-1"},
	}
	regions = map[string]string{"dk-east-1": "dk-east", "dk-west-1": "dk-west"}
)

// system is the platform's stand-ins and the instances, as processes.
type system struct {
	daemon, standin string
	dir             string
	procs           map[string]*proc.Process
	order           []string // of starts
	client          fasthttp.Client
}

const (
	// patience bounds waits for states that are reached within a few seconds. It also bounds the time of the demo.
	patience = 15 * time.Second
	poll     = 50 * time.Millisecond
)

func (s *system) start(name, path string, args ...string) error {
	s.procs[name] = &proc.Process{Name: name, ProgramPath: path, Args: args, LogPath: filepath.Join(s.dir, name+".log")}
	s.order = append(s.order, name)
	return s.procs[name].Start()
}

func (s *system) address(name, field string) string {
	addr, err := s.procs[name].Address(field)
	if err != nil {
		return netip.AddrPort{}.String()
	}
	return addr.String()
}

// platform starts the log service, the list and the servers.
func (s *system) platform() error {
	if err := errors.Join(s.start("log", s.standin, "log"), s.start("list", s.standin, "list")); err != nil {
		return err
	}
	for _, p := range servers {
		args := []string{"server", "--name", p.name, "--pool", p.pool, "--list", s.address("list", "control"), "--grace", "0s", "--linger", "0s"}
		if p.pool == "stock" {
			args = append(args, "--checks", "--keyed")
		}
		if err := s.start(p.name, s.standin, args...); err != nil {
			return err
		}
	}
	return nil
}

// fleet starts the instances and enters them in the list, as the platform would.
func (s *system) fleet() error {
	var list listsv.Command
	seeds := []string{}
	for _, p := range instances {
		file, err := s.settings(p, seeds)
		if err != nil {
			return err
		}
		if err := s.start(p.name, s.daemon, "serve", "--settings", file); err != nil {
			return err
		}
		peer := s.address(p.name, "peer")
		seeds = append(seeds, peer)
		list.Put.Instances = append(list.Put.Instances, listsv.Instance{ID: p.name, DC: p.dc, Region: regions[p.dc], Peer: peer})
	}
	return s.post("http://"+s.address("list", "control")+"/control", list)
}

type object = map[string]any

// settings writes the settings file of an instance.
func (s *system) settings(p place, seeds []string) (string, error) {
	const any0 = "127.0.0.1:0"
	return s.write(p.name+".settings", object{
		"instance": p.name, "dc": p.dc, "region": regions[p.dc], "caller": any0, "peer": any0, "admin": any0,
		"log": s.address("log", "address"), "list": s.address("list", "address"), "seeds": seeds, "linger": "100ms",
	})
}

func (s *system) write(name string, value any) (string, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.dir, name)
	return path, os.WriteFile(path, text, 0o600)
}

// publish puts both tables in force by the operators' command.
func (s *system) publish() error {
	file := filepath.Join(s.dir, "routes.jsonc")
	if err := os.WriteFile(file, routes, 0o600); err != nil {
		return err
	}
	pools, err := s.write("pools.jsonc", s.pools())
	if err != nil {
		return err
	}
	out, err := exec.Command(s.daemon, "publish", "--settings", filepath.Join(s.dir, "i1.settings"),
		"--routes", file, "--pools", pools).CombinedOutput()
	if err != nil {
		return fmt.Errorf("publish: %w\n%s", err, out)
	}
	return nil
}

func (s *system) pools() object {
	rows := map[string][]object{}
	for _, p := range servers {
		rows[p.pool] = append(rows[p.pool], object{
			"name": p.name, "address": s.address(p.name, "address"), "dc": p.dc, "slots": 3, "connections": 130,
			"checks": p.pool == "stock",
		})
	}
	return object{
		"regions": []object{
			{"name": "dk-east", "dcs": []string{"dk-east-1"}}, {"name": "dk-west", "dcs": []string{"dk-west-1"}},
		},
		"pools": []object{
			{"name": "stock", "keyed": true, "slots": 512, "servers": rows["stock"]},
			{"name": "cut", "servers": rows["cut"]},
		},
	}
}

func (s *system) post(url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(url)
	req.SetBody(data)
	if err := s.client.DoTimeout(req, resp, patience); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s answered %d: %s", url, resp.StatusCode(), resp.Body())
	}
	return nil
}

// stop ends the instances gracefully, then everything else. The error names instances that did not exit with 0.
func (s *system) stop() error {
	var err error
	for _, p := range instances {
		if q := s.procs[p.name]; q != nil && q.Running() {
			_ = q.Signal(syscall.SIGTERM)
		}
	}
	for _, p := range instances {
		q := s.procs[p.name]
		if q == nil || !q.Running() {
			continue
		}
		if code, e := q.Wait(patience); code != 0 || e != nil {
			err = errors.Join(err, e, fmt.Errorf("%s: exit code %d", p.name, code))
		}
	}
	for _, name := range s.order {
		s.kill(name)
	}
	return errors.Join(err, os.RemoveAll(s.dir))
}

func (s *system) kill(name string) {
	if q := s.procs[name]; q.Running() {
		_ = q.Signal(syscall.SIGKILL)
		_, _ = q.Wait(patience)
	}
}
