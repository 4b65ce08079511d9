package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	memoryLimit  = 284 // MB, as in the settings
	memoryChecks = 10 * time.Millisecond
)

// residentMemory returns the resident memory of a process in MB, 0 if it has ended.
func residentMemory(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

// limitMemory kills the process, as the platform does, when it exceeds its memory. It returns after stop is closed.
func (d *Daemon) limitMemory(stop <-chan struct{}) {
	for peak := 0; ; {
		select {
		case <-stop:
			d.record.Note("%s: resident memory was %d MB at most", d.Name, peak)
			return
		case <-time.After(memoryChecks):
		}
		if n := residentMemory(d.Pid()); n > memoryLimit {
			d.record.Note("%s exceeds its memory: %d MB", d.Name, n)
			d.kill()
		} else {
			peak = max(peak, n)
		}
	}
}

// playBigBody lets more clients than usual come at once, whose requests have bodies of 5 MB. Others send short requests all the time.
func playBigBody(f *Fleet, trouble bool) (broken bool, why string, err error) {
	const (
		usualClients = 8 // of each daemon
		burstClients = 20
		bursts       = 4
		burstLength  = 3 * time.Second
		calm         = 4 * time.Second
		// At this rate, 20 clients use four tenths of a link of 1,000 Mbit/s.
		rate = 2500000 // bytes per second of each client
	)
	body := strings.Repeat("x", 5<<20)
	if err := f.Publish(12, []Route{{Name: "r-order", Prefix: "/order/", Service: "skaereordre", Timeout: 6 * time.Second, MaxAttempts: 2}}, []string{"skaereordre"}, nil); err != nil {
		return false, "", err
	}
	if err := f.AddServers(12, "skaereordre", 150*time.Millisecond); err != nil {
		return false, "", err
	}
	if err := f.Start(3); err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	send := func(d *Daemon, body string, stop <-chan struct{}) {
		c := &Conn{Clients: f.Clients, Daemon: d}
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			if x := c.Do(Request{Method: "PUT", Path: "/order/7", Key: -1, Body: body, Deadline: 6 * time.Second, Rate: rate}); x.Status != 200 {
				time.Sleep(300 * time.Millisecond)
			}
		}
	}
	for _, d := range f.Daemons {
		wg.Go(func() { d.limitMemory(stop) })
		for range usualClients {
			wg.Go(func() { send(d, body, stop) })
			wg.Go(func() { send(d, "2 m", stop) })
		}
	}
	for range bursts {
		time.Sleep(calm)
		ended := make(chan struct{})
		if trouble {
			f.Record.Note("%d more clients come to each daemon", burstClients-usualClients)
			for _, d := range f.Daemons {
				for range burstClients - usualClients {
					wg.Go(func() { send(d, body, ended) })
				}
			}
		}
		time.Sleep(burstLength)
		close(ended)
	}
	close(stop)
	wg.Wait()
	cut, all, served := 0, 0, 0
	for _, x := range f.Clients.Calls() {
		all++
		if x.Status == 200 {
			served++
		}
		if x.Kept && x.Status == 0 && len(f.Record.Runs(x.ID)) > 0 {
			cut++
		}
	}
	ends, often := 0, 0
	for _, d := range f.Daemons {
		ends += d.OwnEnds()
		if d.OwnEnds() >= 3 {
			often++
		}
	}
	return cut > 3, fmt.Sprintf("%d requests on kept connections had reached a sound server and got no answer; processes ended by their memory %d times, %d of %d of them three times or more; %d of %d requests were served", cut, ends, often, len(f.Daemons), served, all), nil
}
