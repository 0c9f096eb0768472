package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// The dose of the disruption "garble": a standard day of the site file names 0.6 of the
// instances and 0.03 of their answers for 5 s. Here it is one of four instances.
const (
	garbleTime  = 5000 * time.Millisecond
	garbleShare = 0.03
	// garbleSpells is how often it comes, with a pause between.
	garbleSpells = 2
	// maxCut is how often a machine may close a connection without an answer.
	maxCut = 3
)

// playBrokenAnswer lets one of four instances break off a small share of its answers, while
// clients send further requests before the first one is answered.
func playBrokenAnswer(e *env) (verdict, error) {
	const host, path = "jepu9.example", "/lepu270/2f"
	m := e.mesh
	for _, z := range []int{1, 1, 1, 2} {
		m.addMachine(z, "status-page", 870*time.Millisecond)
	}
	for _, z := range []int{1, 2, 3} {
		m.addMachine(z, "booking", 870*time.Millisecond)
	}
	m.configure(map[string]any{
		"r-status": route(host, "/lepu270/", "idempotent", "status-page", "2500ms", "400ms", 2),
	}, "status-page", "booking")
	instances, closeAll, err := startInstances(m, instanceConfig{slots: 18, work: 100 * time.Millisecond, chunks: 3, chunkBytes: 1000})
	if err != nil {
		return verdict{}, err
	}
	defer closeAll()
	if err := m.startAll(); err != nil {
		return verdict{}, err
	}
	faulty := map[*instance]bool{instances[0]: true}
	var mu sync.Mutex
	var fates []requestFate
	report := func(f requestFate) {
		mu.Lock()
		defer mu.Unlock()
		fates = append(fates, f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, n := range m.machines {
		clients.Go(func() { pipeline(ctx, n, host, path, 2500*time.Millisecond, 8, report) })
	}
	time.Sleep(2 * time.Second)
	for range garbleSpells {
		if e.trouble {
			e.record.note("%s breaks off %v of its answers for %v", instances[0].cfg.id, garbleShare, garbleTime)
			setTruncate(faulty, garbleShare)
		}
		time.Sleep(garbleTime)
		setTruncate(faulty, 0)
		time.Sleep(2 * time.Second)
	}
	cancel()
	clients.Wait()
	return judgeBrokenAnswer(e, instances, faulty, fates), nil
}

func setTruncate(instances map[*instance]bool, share float64) {
	for i := range instances {
		i.setTruncate(share)
	}
}

// judgeBrokenAnswer counts the requests that sound instances ran, and only these, and whose
// connection was closed without an answer.
func judgeBrokenAnswer(e *env, instances []*instance, faulty map[*instance]bool, fates []requestFate) verdict {
	cut := map[string]int{}
	answered, most, total := 0, 0, 0
	for _, f := range fates {
		text, sound, ran := "", true, false
		for _, i := range instances {
			for _, r := range i.runsOf(f.id) {
				ran = true
				sound = sound && !faulty[i]
				text += fmt.Sprintf(" ran at %s (whole: %v, broken off: %v)", r.instance, r.whole, r.broken)
			}
		}
		e.record.noteAt(f.sent, "request %s at %s: status %d after %d ms;%s", f.id, f.entry, f.status, f.ended.Sub(f.sent).Milliseconds(), text)
		if f.status != 0 {
			answered++
		} else if ran && sound {
			cut[f.entry]++
			total++
			most = max(most, cut[f.entry])
		}
	}
	text := fmt.Sprintf("LOST: %d requests, %d answered; %d ran at sound instances only and their connections were closed without an answer; most at one machine: %d (allowed: %d)",
		len(fates), answered, total, most, maxCut)
	return verdict{broken: most > maxCut, text: text}
}
