package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// playOrders lets servers send some of their answers to orders once more, late. Busy keys change, so that the leader moves keys.
func playOrders(f *Fleet, trouble bool) (broken bool, why string, err error) {
	const (
		clientsPerDaemon = 14
		servers          = 20
		repeatServers    = 12 // of them
		repeatShare      = 0.03
		spells           = 17
		spellLength      = 5 * time.Second // in which answers are repeated
		spellPause       = time.Second
		hotTime          = 4 * time.Second
		hotShare         = 0.4
		hotKeys          = 60
	)
	if err := f.Publish(12, []Route{{Name: "r-read", Prefix: "/read/", Service: "netkatalog", Idempotent: true, Timeout: 4 * time.Second, MaxAttempts: 2}}, nil, []string{"netkatalog"}); err != nil {
		return false, "", err
	}
	var repeats atomic.Bool
	p := &Pool{
		Service: "netkatalog", store: f.Store, record: f.Record,
		Work: func() time.Duration {
			if rand.IntN(20) < 3 {
				return 600 * time.Millisecond
			}
			return 82 * time.Millisecond
		},
		RepeatShare: func(server int) float64 {
			if repeats.Load() && server < repeatServers {
				return repeatShare
			}
			return 0
		},
	}
	for i := range servers {
		if err := p.Add(i, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)]); err != nil {
			return false, "", err
		}
	}
	if err := f.Start(3); err != nil {
		return false, "", err
	}
	time.Sleep(3 * time.Second)
	var hot atomic.Int64
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
					key := rand.IntN(65536)
					if rand.Float64() < hotShare {
						key = int(hot.Load()) + rand.IntN(hotKeys)
					}
					c.Do(Request{Method: "GET", Path: "/read/7", Key: key, Deadline: 4 * time.Second})
				}
			})
		}
	}
	wg.Go(func() {
		for {
			hot.Store(int64(rand.IntN(65536 - hotKeys)))
			f.Record.Note("keys %d to %d are busy", hot.Load(), hot.Load()+hotKeys-1)
			select {
			case <-stop:
				return
			case <-time.After(hotTime):
			}
		}
	})
	for range spells {
		repeats.Store(trouble)
		f.Record.Note("servers repeat answers: %v", trouble)
		time.Sleep(spellLength)
		repeats.Store(false)
		f.Record.Note("servers repeat answers: false")
		time.Sleep(spellPause)
	}
	close(stop)
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	why = fmt.Sprintf("%d times a server was given a key on which another was still at work; %d releases, %d answers to orders were sent once more", len(p.faults), p.releases, p.repeated)
	return len(p.faults) > 0, why, nil
}
