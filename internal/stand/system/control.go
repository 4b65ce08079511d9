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

// PostCommand sends a command to the control listener of a stand-in. It decodes the answer into out unless nil.
func (sys *System) PostCommand(name string, command, out any) error {
	body, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return sys.request(name, "control", "/control", fasthttp.MethodPost, body, out)
}

func (sys *System) request(name, field, path, method string, body []byte, out any) error {
	addr, err := sys.procs[name].Address(field)
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
	if err := sys.controlClient.DoTimeout(req, resp, controlTimeout); err != nil {
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
func (sys *System) CommandLog(cmd logsrv.Command) {
	sys.tb.Helper()
	sys.check(sys.PostCommand(LogProcess, cmd, nil))
}

// LogCounts returns the counters of the log service.
func (sys *System) LogCounts() (c logsrv.Counts) {
	sys.tb.Helper()
	sys.check(sys.request(LogProcess, "control", "/control", fasthttp.MethodGet, nil, &c))
	return c
}

// CommandList sends a command to the list service.
func (sys *System) CommandList(cmd listsv.Command) {
	sys.tb.Helper()
	sys.check(sys.PostCommand(ListProcess, cmd, nil))
}

// CommandServer sends a command to a backend server.
func (sys *System) CommandServer(name string, cmd bkend.Command) {
	sys.tb.Helper()
	sys.check(sys.PostCommand(name, cmd, nil))
}

// ServerStatus returns the state and counters of a backend server.
func (sys *System) ServerStatus(name string) (s bkend.Status) {
	sys.tb.Helper()
	sys.check(sys.request(name, "control", "/control", fasthttp.MethodGet, nil, &s))
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
func (sys *System) Status(name string) (Status, error) {
	var s Status
	return s, sys.request(name, "admin", "/status", fasthttp.MethodGet, nil, &s)
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
func (sys *System) Explain(name, path, key string) (Explanation, error) {
	var e Explanation
	return e, sys.request(name, "admin", "/explain?method=GET&path="+path+"&key="+key, fasthttp.MethodGet, nil, &e)
}

// CallerAddress returns the address of the caller listener of an instance.
func (sys *System) CallerAddress(instance string) netip.AddrPort {
	sys.tb.Helper()
	return sys.Address(instance, "caller")
}

// Controller returns the instance that reports itself as controller of the data centre with the highest term and epoch,
// or "" if none does.
func (sys *System) Controller(dc string) string {
	best, name := Status{}, ""
	for _, in := range sys.Plan.Instances {
		if in.DC != dc || !sys.Running(in.Name) {
			continue
		}
		s, err := sys.Status(in.Name)
		if err == nil && s.Controller && (s.Term > best.Term || s.Term == best.Term && s.Epoch >= best.Epoch) {
			best, name = s, in.Name
		}
	}
	return name
}

// witnessesPattern matches the log line of a claim of a term or an epoch.
var witnessesPattern = regexp.MustCompile(`event=fence .*witnesses=(\d+)`)

// WitnessCount returns the number of witnesses in the last claim that an instance has logged, or 0 if none.
func (sys *System) WitnessCount(name string) int {
	if name == "" {
		return 0
	}
	all := witnessesPattern.FindAllStringSubmatch(sys.Output(name), -1)
	if len(all) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(all[len(all)-1][1])
	return n
}

// PoolTable returns the pool table of the plan, with the given data centres as lost.
func (sys *System) PoolTable(lost ...string) string {
	sys.tb.Helper()
	text, err := sys.Plan.poolTable(lost, func(name string) netip.AddrPort { return sys.SharedProxy(name).Address() })
	sys.check(err)
	return string(text)
}

// TryPublish publishes both tables with the command "publish", and returns its exit code and output.
func (sys *System) TryPublish(routes, pools string, extraArgs ...string) (int, string) {
	sys.tb.Helper()
	args := []string{"publish", "--settings", sys.OperatorSettingsPath()}
	for _, f := range []struct{ name, text string }{{"routes", routes}, {"pools", pools}} {
		path := filepath.Join(sys.dir, fmt.Sprintf("%s-%d.table", f.name, sys.lastID.Add(1)))
		sys.check(os.WriteFile(path, []byte(f.text), 0o600))
		args = append(args, "--"+f.name, path)
	}
	return sys.RunOperatorCommand(append(args, extraArgs...)...)
}

// RunOperatorCommand runs the daemon's binary with args, and returns its exit code and output.
func (sys *System) RunOperatorCommand(args ...string) (int, string) {
	sys.tb.Helper()
	cmd := exec.Command(sys.programs.Daemon, args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		sys.tb.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// OperatorSettingsPath returns the path of the settings file for operator commands.
func (sys *System) OperatorSettingsPath() string {
	return filepath.Join(sys.dir, operatorName+".settings")
}

// Output returns all output of a process, across restarts.
func (sys *System) Output(name string) string {
	sys.tb.Helper()
	data, err := os.ReadFile(sys.procs[name].LogPath)
	sys.check(err)
	return string(data)
}

// Publish publishes routes and the pool table of the plan, and fails the test if they are not in force.
func (sys *System) Publish(routes string) {
	sys.tb.Helper()
	if code, out := sys.TryPublish(routes, sys.PoolTable()); code != 0 {
		sys.tb.Fatalf("publish: exit code %d\n%s", code, out)
	}
}
