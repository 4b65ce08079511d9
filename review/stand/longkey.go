package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playLongKey lets another writer put an entry with an id of 255 bytes, the longest that a record can have, among the servers' entries.
func playLongKey(f *Fleet, trouble bool) (broken bool, why string, err error) {
	const (
		clientsPerDaemon = 8
		calm             = 5 * time.Second
		length           = 20 * time.Second
	)
	if err := f.Publish(12, []Route{{Name: "r-order", Prefix: "/order/", Service: "skaereordre", Timeout: 4 * time.Second, MaxAttempts: 2}}, []string{"skaereordre"}, nil); err != nil {
		return false, "", err
	}
	if err := f.AddServers(8, "skaereordre", 150*time.Millisecond); err != nil {
		return false, "", err
	}
	if err := f.Start(4); err != nil {
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
					default:
					}
					if x := c.Do(Request{Method: "POST", Path: "/order/7", Key: -1, Body: "2 m", Deadline: 4 * time.Second}); x.Status != 200 {
						time.Sleep(200 * time.Millisecond)
					}
				}
			})
		}
	}
	time.Sleep(calm)
	begin := time.Now()
	for n := 1; time.Since(begin) < length; n++ {
		if trouble {
			// Service and state are missing, so that it names no server to use.
			f.Store.Put("keyed.servers", strings.Repeat("x", 255), fmt.Sprintf(`{"seq":%d}`, n))
			f.Record.Note("another writer puts its entry, seq %d", n)
		}
		time.Sleep(heartbeat)
	}
	close(stop)
	wg.Wait()
	cut := 0
	for _, x := range f.Clients.Calls() {
		if x.Kept && x.Status == 0 && len(f.Record.Runs(x.ID)) > 0 {
			cut++
		}
	}
	ends := 0
	for _, d := range f.Daemons {
		ends += d.OwnEnds()
	}
	return cut > 3, fmt.Sprintf("%d requests on kept connections had reached a sound server and got no answer; processes ended by themselves %d times", cut, ends), nil
}
