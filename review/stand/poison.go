package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// playPoison sends a request again and again that crashes each server that runs it, while the server sends its answer.
func playPoison(f *Fleet, trouble bool) (broken bool, why string, err error) {
	const (
		clientsPerDaemon = 3
		work             = 60 * time.Millisecond
		downTime         = 3 * time.Second
		retryPause       = 1500 * time.Millisecond
		retries          = 20
		stableWindow     = 3 * time.Second
		service          = "skaereordre"
	)
	if err := f.Publish(12, []Route{{Name: "r-order", Prefix: "/order/", Service: service, Timeout: 4 * time.Second, MaxAttempts: 2}}, []string{service}, nil); err != nil {
		return false, "", err
	}
	var lives atomic.Int64
	var start func(zone string) error
	start = func(zone string) error {
		s := &Server{ID: fmt.Sprintf("i-%d", lives.Add(1)), Service: service, Zone: zone, Work: work, store: f.Store, record: f.Record}
		s.crashes = func(r *http.Request) bool { return trouble && strings.HasSuffix(r.URL.Path, "/poison") }
		s.onCrash = func() {
			time.AfterFunc(downTime, func() {
				if err := start(zone); err != nil {
					f.Record.Note("server not started again: %v", err)
				}
			})
		}
		return s.Start()
	}
	for i := range 10 {
		if err := start(zones[i%len(zones)]); err != nil {
			return false, "", err
		}
	}
	if err := f.Start(3); err != nil {
		return false, "", err
	}
	time.Sleep(3 * time.Second)
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
					case <-time.After(50 * time.Millisecond):
					}
					c.Do(Request{Method: "POST", Path: "/order/7", Key: -1, Body: "2 m", Deadline: 4 * time.Second})
				}
			})
		}
	}
	var crashes []time.Time
	late, ran := 0, 0
	for i := range retries {
		c := &Conn{Clients: f.Clients, Daemon: f.Daemons[i%len(f.Daemons)]}
		x := c.Do(Request{Method: "POST", Path: "/order/poison", Key: -1, Body: "3 m", Deadline: 4 * time.Second})
		c.close()
		runs := f.Record.Runs(x.ID)
		if len(runs) > 0 && len(crashes) >= 3 && x.Sent.Sub(crashes[2]) > stableWindow {
			late++
		}
		for _, r := range runs {
			ran++
			if trouble {
				crashes = append(crashes, r.At)
			}
		}
		time.Sleep(retryPause)
	}
	close(stop)
	wg.Wait()
	return len(crashes) > 0 && late > 3, fmt.Sprintf("%d of %d sends of the request ran on servers, with %d crashes; %d of the sends came later than %v after the third crash", ran, retries, len(crashes), late, stableWindow), nil
}
