package system

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/stand/bkend"
	"github.com/bramleycove/bramleycove/internal/stand/listsv"
	"github.com/bramleycove/bramleycove/internal/stand/logsrv"
)

// controlTimeout limits each request to a control or admin listener.
const controlTimeout = 5 * time.Second

func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConnsPerHost:           1 << 14,
	}
}

// PostCommand sends a command to the control listener of a stand-in, and decodes the answer into out unless it is nil.
func (r *System) PostCommand(name string, command, out any) error {
	body, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return r.request(name, "control", "/control", fasthttp.MethodPost, body, out)
}

func (r *System) request(name, field, path, method string, body []byte, out any) error {
	addr, err := r.procs[name].Address(field)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr.String() + path)
	req.SetBody(body)
	req.SetConnectionClose()
	if err := r.controlClient.DoTimeout(req, resp, controlTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s answered %d to %s: %s", name, resp.StatusCode(), path, resp.Body())
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), out)
}

// CommandLog sends a command to the log service.
func (r *System) CommandLog(cmd logsrv.Command) {
	r.tb.Helper()
	r.check(r.PostCommand(LogProcess, cmd, nil))
}

// LogCounts returns the counters of the log service.
func (r *System) LogCounts() (c logsrv.Counts) {
	r.tb.Helper()
	r.check(r.request(LogProcess, "control", "/control", fasthttp.MethodGet, nil, &c))
	return c
}

// CommandList sends a command to the list service.
func (r *System) CommandList(cmd listsv.Command) {
	r.tb.Helper()
	r.check(r.PostCommand(ListProcess, cmd, nil))
}

// CommandServer sends a command to a backend server.
func (r *System) CommandServer(name string, cmd bkend.Command) {
	r.tb.Helper()
	r.check(r.PostCommand(name, cmd, nil))
}

// ServerStatus returns the state and counters of a backend server.
func (r *System) ServerStatus(name string) (s bkend.Status) {
	r.tb.Helper()
	r.check(r.request(name, "control", "/control", fasthttp.MethodGet, nil, &s))
	return s
}

// Status holds the fields of GET /status that tests use.
type Status struct {
	Instance   string `json:"instance"`
	DC         string `json:"dc"`
	Config     uint64 `json:"config"` // version of the tables in force
	Controller bool   `json:"controller"`
	Term       uint64 `json:"term"`
	Epoch      uint64 `json:"epoch"`
	Ready      bool   `json:"ready"`
}

// Status fetches the status of an instance.
func (r *System) Status(name string) (Status, error) {
	var s Status
	return s, r.request(name, "admin", "/status", fasthttp.MethodGet, nil, &s)
}

// Explanation holds the fields of GET /explain that tests use.
type Explanation struct {
	Slot       uint32 `json:"slot"`
	Home       string `json:"home"`
	Owner      string `json:"owner"`
	Token      uint64 `json:"token"`
	Dispatcher string `json:"dispatcher"`
}

// Explain asks an instance where it would send a GET of path with the given key.
func (r *System) Explain(name, path, key string) (Explanation, error) {
	var e Explanation
	return e, r.request(name, "admin", "/explain?method=GET&path="+path+"&key="+key, fasthttp.MethodGet, nil, &e)
}

// CallerAddress returns the address of the caller listener of an instance.
func (r *System) CallerAddress(instance string) netip.AddrPort {
	r.tb.Helper()
	return r.Address(instance, "caller")
}

// Controller returns the instance that reports itself as the controller of the data centre, the one with the highest
// term and epoch if several do, or "" if none does.
func (r *System) Controller(dc string) string {
	best, name := Status{}, ""
	for _, in := range r.Plan.Instances {
		if in.DC != dc || !r.Running(in.Name) {
			continue
		}
		s, err := r.Status(in.Name)
		if err == nil && s.Controller && (s.Term > best.Term || s.Term == best.Term && s.Epoch >= best.Epoch) {
			best, name = s, in.Name
		}
	}
	return name
}

// witnessesPattern matches the log line of a controller that has claimed a term or an epoch.
var witnessesPattern = regexp.MustCompile(`event=fence .*witnesses=(\d+)`)

// WitnessCount returns the number of witnesses in the last claim that an instance has logged, or 0 if none.
func (r *System) WitnessCount(name string) int {
	if name == "" {
		return 0
	}
	all := witnessesPattern.FindAllStringSubmatch(r.Output(name), -1)
	if len(all) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(all[len(all)-1][1])
	return n
}

// PoolTable returns the pool table of the plan, with the data centres in lost declared as lost.
func (r *System) PoolTable(lost ...string) string {
	r.tb.Helper()
	text, err := r.Plan.poolTable(lost, func(name string) netip.AddrPort { return r.SharedProxy(name).Address() })
	r.check(err)
	return string(text)
}

// TryPublish runs the command "publish" with both tables and extraArgs, and returns its exit code and output.
func (r *System) TryPublish(routes, pools string, extraArgs ...string) (int, string) {
	r.tb.Helper()
	args := []string{"publish", "--settings", r.OperatorSettingsPath()}
	for _, f := range []struct{ name, text string }{{"routes", routes}, {"pools", pools}} {
		path := filepath.Join(r.dir, fmt.Sprintf("%s-%d.table", f.name, r.lastID.Add(1)))
		r.check(os.WriteFile(path, []byte(f.text), 0o600))
		args = append(args, "--"+f.name, path)
	}
	return r.RunOperatorCommand(append(args, extraArgs...)...)
}

// RunOperatorCommand runs the daemon's binary with args, and returns its exit code and output.
func (r *System) RunOperatorCommand(args ...string) (int, string) {
	r.tb.Helper()
	cmd := exec.Command(r.programs.Daemon, args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		r.tb.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// OperatorSettingsPath returns the path of the settings file for operator commands.
func (r *System) OperatorSettingsPath() string { return filepath.Join(r.dir, operatorName+".settings") }

// Output returns all output of a process, across restarts.
func (r *System) Output(name string) string {
	r.tb.Helper()
	data, err := os.ReadFile(r.procs[name].LogPath)
	r.check(err)
	return string(data)
}

// Publish publishes routes and the pool table of the plan, and fails the test if they are not in force.
func (r *System) Publish(routes string) {
	r.tb.Helper()
	if code, out := r.TryPublish(routes, r.PoolTable()); code != 0 {
		r.tb.Fatalf("publish: exit code %d\n%s", code, out)
	}
}
