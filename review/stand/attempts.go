package main

import (
	"fmt"
	"sync"
	"time"
)

// playAttempts lets one server after the other fail part of the requests of a route whose max-attempts is 1.
func playAttempts(f *Fleet, trouble bool) (broken bool, why string, err error) {
	const (
		clientsPerDaemon = 4
		greyTimes        = 4
		greyLength       = 6500 * time.Millisecond
		servers          = 8
		failPercent      = 45
	)
	if err := f.Publish(12, []Route{{Name: "r-read", Prefix: "/read/", Service: "skaereordre", Idempotent: true, Timeout: 4 * time.Second, MaxAttempts: 1}}, []string{"skaereordre"}, nil); err != nil {
		return false, "", err
	}
	if err := f.AddServers(servers, "skaereordre", 30*time.Millisecond); err != nil {
		return false, "", err
	}
	if err := f.Start(3); err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, d := range f.Daemons {
		for range clientsPerDaemon {
			wg.Go(func() {
				c := &Conn{Clients: f.Clients, Daemon: d}
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					c.Do(Request{Method: "GET", Path: "/read/7", Key: -1, Deadline: 4 * time.Second})
				}
			})
		}
	}
	for i := range greyTimes {
		grey := f.Servers[i]
		if trouble {
			f.Record.Note("%s fails %d%% of its requests from now on, the others none", grey.ID, failPercent)
			grey.FailPercent.Store(failPercent)
		}
		time.Sleep(greyLength)
		grey.FailPercent.Store(0)
	}
	close(stop)
	wg.Wait()
	over, all := 0, 0
	for _, x := range f.Clients.Calls() {
		all++
		servers := make(map[string]bool)
		for _, r := range f.Record.Runs(x.ID) {
			servers[r.Server] = true
		}
		if len(servers) > 1 {
			over++
		}
	}
	return over > 3, fmt.Sprintf("%d of %d requests ran on more servers than the one that max-attempts allows", over, all), nil
}
