package demo

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

type request struct{ rank, method, path, body, id string }

func lookup(key string) request {
	return request{rank: "urgent", method: "GET", path: "/stock/" + key}
}

func order(id string) request {
	return request{rank: "normal", method: "POST", path: "/orders", body: "cut " + id, id: id}
}

// answer is what a caller got.
type answer struct {
	request
	instance string
	status   int    // 0 if there was no answer
	verdict  string // or the error
	server   string // "" if none answered
	took     time.Duration
	at       time.Duration // since the loss
}

func (s *system) call(instance string, r request) answer {
	a := answer{request: r, instance: instance}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://" + s.address(instance, "caller") + r.path)
	req.SetBodyString(r.body)
	if r.id != "" {
		req.Header.Set("X-Order-Id", r.id)
	}
	begin := time.Now()
	err := s.client.DoTimeout(req, resp, patience)
	a.took = time.Since(begin)
	if err != nil {
		a.verdict = err.Error()
		return a
	}
	a.status, a.verdict = resp.StatusCode(), string(resp.Header.Peek("Bramleycove-Verdict"))
	if a.verdict == "ran" {
		a.server = serverOf(resp.Body())
	}
	return a
}

// serverOf returns the server that a stand-in's answer names, which begins with "server=NAME ".
func serverOf(body []byte) string {
	rest, _ := strings.CutPrefix(string(body), "server=")
	name, _, _ := strings.Cut(rest, " ")
	return name
}

func (d *show) head() {
	d.say("  %-7s %-8s %-27s %-4s %-6s %-13s %-6s %8s", "after", "rank", "request", "via", "status", "verdict", "server", "time")
}

func (d *show) row(a answer) {
	name, after := a.method+" "+a.path, ""
	if a.id != "" {
		name += " " + a.id
	}
	if a.at > 0 {
		after = a.at.Round(time.Millisecond).String()
	}
	server := a.server
	if server == "" {
		server = "-"
	}
	d.say("  %-7s %-8s %-27s %-4s %-6d %-13s %-6s %6.1fms", after, a.rank, name, a.instance, a.status, a.verdict, server,
		float64(a.took.Microseconds())/1000)
}
