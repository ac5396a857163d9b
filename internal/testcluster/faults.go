package testcluster

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"aspenbarrow/internal/fault"
)

// kind begins a fault, writes down what it did and may return what ends it.
type kind func(r *rig, f *fault.Fault, did *deeds) (end func())

// kinds are all that processes can play.
var kinds map[string]kind

func init() {
	kinds = map[string]kind{
		"link":                link,
		"relays die together": relays(func(r *rig, x *relay, f *fault.Fault) bool { return r.kill(x) }, (*rig).revive),
		"relay killed":        relays(func(r *rig, x *relay, f *fault.Fault) bool { return r.kill(x) }, (*rig).revive),
		"relays paused":       relays(func(r *rig, x *relay, f *fault.Fault) bool { return r.pause(x, true) }, func(r *rig, x *relay) { r.pause(x, false) }),
		"relays start late":   relays(func(*rig, *relay, *fault.Fault) bool { return true }, (*rig).revive),
		"relays leave":        relays(func(r *rig, x *relay, f *fault.Fault) bool { return r.leave(x, func() {}) }, (*rig).revive),
		"rolling restart":     rolling,
		"backends slow":       backends(func(r *rig, b *backend, f *fault.Fault) { b.slowDown(4 + 30*f.Severity) }, func(b *backend) { b.slowDown(1) }),
		"backends paused":     backends(func(r *rig, b *backend, f *fault.Fault) { b.pause() }, func(b *backend) { b.resume() }),
		"backends die":        backends(func(r *rig, b *backend, f *fault.Fault) { b.die() }, func(b *backend) { b.launch(true) }),
		"backends vanished":   backends(func(r *rig, b *backend, f *fault.Fault) { b.vanish() }, func(b *backend) { b.back() }),
		"backends failing fast": backends(func(r *rig, b *backend, f *fault.Fault) {
			b.with(func(time.Duration) { b.errs = 0.4 + 0.6*f.Severity })
		}, func(b *backend) { b.with(func(time.Duration) { b.errs = 0 }) }),
		"backends resetting": backends(func(r *rig, b *backend, f *fault.Fault) {
			b.with(func(time.Duration) { b.breaks = 0.3 + 0.6*f.Severity })
		}, func(b *backend) { b.with(func(time.Duration) { b.breaks = 0 }) }),
		"backends full": backends(func(r *rig, b *backend, f *fault.Fault) {
			b.with(func(time.Duration) { b.full = 0.5 + 0.4*f.Severity })
		}, func(b *backend) { b.with(func(time.Duration) { b.full = 0 }) }),
		"backends drain": backends(func(r *rig, b *backend, f *fault.Fault) { b.drain(f.Duration) }, func(b *backend) { b.launch(true) }),
		"backends start": starts,
		"zone cut off":   zoneCut,
		"power cut":      powerCut,
		"list late":      listLate,
		"list out":       listOut,
		"list differs":   listDiffers,
		"burst":          burst,
	}
}

// Kinds names all that processes can play.
func Kinds() []string {
	var names []string
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// hit are the numbers that a fault strikes, of so many.
func hit(f *fault.Fault, of int) []int {
	if f.Targets != nil {
		return f.Targets
	}
	n := 1
	switch f.Kind {
	case "relays die together", "relays start late", "relays paused", "relays leave":
		n = max(1, int(f.Severity*float64(of)))
	case "relay killed":
	default:
		if f.Severity > 0.4 {
			n = max(1, int(f.Severity*float64(of))/3)
		}
	}
	var out []int
	for i := range min(n, of) {
		out = append(out, (f.Target+i)%of)
	}
	return out
}

// happen has one fault of the script take place; what it returns ends it now if it has not ended.
func (r *rig) happen(i int) (end func()) {
	f := r.opt.Script[i]
	did := &deeds{}
	var once sync.Once
	var mu sync.Mutex
	var over func()
	began, ended := time.Duration(-1), false
	finish := func() {
		once.Do(func() {
			mu.Lock()
			ended = true
			o := over
			mu.Unlock()
			if o != nil {
				o()
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.effects[i] = Effect{Fault: f, Began: began, Ended: r.since(), Did: did.counts()}
		})
	}
	time.AfterFunc(f.Start-r.since(), func() {
		mu.Lock()
		defer mu.Unlock()
		if ended || r.ctx.Err() != nil {
			return
		}
		began = r.since()
		over = kinds[f.Kind](r, &f, did)
		r.in(f.Duration, finish)
	})
	return finish
}

// relays strikes relays, and has those that were struck come back.
func relays(begin func(r *rig, x *relay, f *fault.Fault) bool, end func(r *rig, x *relay)) kind {
	return func(r *rig, f *fault.Fault, did *deeds) func() {
		var struck []*relay
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, i := range hit(f, len(r.relays)) {
			wg.Go(func() { // together, not one after another
				if x := r.relays[i]; begin(r, x, f) {
					did.struck.Add(1)
					mu.Lock()
					struck = append(struck, x)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		return func() {
			for _, x := range struck {
				go end(r, x)
			}
		}
	}
}

func rolling(r *rig, f *fault.Fault, did *deeds) func() {
	which := hit(f, len(r.relays))
	if f.Targets == nil {
		which = make([]int, len(r.relays))
		for i := range which {
			which[i] = (f.Target + i) % len(r.relays)
		}
	}
	for k, i := range which {
		r.in(time.Duration(k)*f.Duration/time.Duration(len(which)), func() {
			x := r.relays[i]
			if r.leave(x, func() { r.revive(x) }) {
				did.struck.Add(1)
			}
		})
	}
	return nil
}

func (r *rig) backendsNow() []*backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.backends)
}

func backends(begin func(r *rig, b *backend, f *fault.Fault), end func(b *backend)) kind {
	return func(r *rig, f *fault.Fault, did *deeds) func() {
		all := r.backendsNow()
		var struck []*backend
		for _, i := range hit(f, len(all)) {
			if b := all[i]; b.loadNow() >= 0 {
				begin(r, b, f)
				did.struck.Add(1)
				struck = append(struck, b)
			}
		}
		return func() {
			for _, b := range struck {
				end(b)
			}
		}
	}
}

func starts(r *rig, f *fault.Fault, did *deeds) func() {
	for range 1 + int(f.Severity*3) {
		r.addBackend(true)
		did.struck.Add(1)
	}
	return nil
}

func zoneCut(r *rig, f *fault.Fault, did *deeds) func() {
	var struck []*backend
	for _, b := range r.backendsNow() {
		if b.zone == f.Target%len(zones) && b.loadNow() >= 0 {
			b.vanish()
			did.struck.Add(1)
			struck = append(struck, b)
		}
	}
	noticed := make(chan struct{})
	r.in(time.Duration(f.Severity*float64(6*time.Second)), func() {
		select {
		case <-noticed:
			return
		default:
		}
		for _, b := range struck {
			b.publish("gone")
		}
	})
	return func() {
		close(noticed)
		for _, b := range struck {
			b.back()
		}
	}
}

func powerCut(r *rig, f *fault.Fault, did *deeds) func() {
	for i, b := range r.backendsNow() { // all at once, and cold ones a little after one another
		if b.loadNow() >= 0 {
			b.die()
			did.struck.Add(1)
			r.in(f.Duration+time.Duration(i)*200*time.Millisecond, func() { b.launch(true) })
		}
	}
	return nil
}

func listLate(r *rig, f *fault.Fault, did *deeds) func() {
	c := r.catalog
	set := func(d time.Duration) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.late = d
	}
	set(time.Second + time.Duration(f.Severity*float64(6*time.Second)))
	did.struck.Add(int64(len(c.agents)))
	return func() { set(0) }
}

func (r *rig) agentsOf(f *fault.Fault) (out []*agent) {
	if f.Targets == nil && f.Severity > 0.5 {
		return r.catalog.agents
	}
	for _, i := range hit(f, len(r.relays)) {
		out = append(out, r.catalog.agents[i])
	}
	return out
}

func listOut(r *rig, f *fault.Fault, did *deeds) func() {
	agents := r.agentsOf(f)
	for _, a := range agents {
		a.setOut(r, true)
		did.struck.Add(1)
	}
	return func() {
		for _, a := range agents {
			a.setOut(r, false)
		}
	}
}

// listDiffers has some relays' agents learn nothing for a while, and then all that they missed.
func listDiffers(r *rig, f *fault.Fault, did *deeds) func() {
	agents := r.agentsOf(f)
	for _, a := range agents {
		a.mu.Lock()
		a.strange = true
		a.mu.Unlock()
		did.struck.Add(1)
	}
	return func() {
		for _, a := range agents {
			a.mu.Lock()
			a.strange = false
			a.mu.Unlock()
			for _, b := range r.backendsNow() {
				b.mu.Lock()
				e := b.entry()
				b.mu.Unlock()
				r.catalog.mu.Lock()
				r.catalog.rev++
				e.rev = r.catalog.rev
				r.catalog.mu.Unlock()
				a.learn(r, e)
			}
		}
	}
}

func burst(r *rig, f *fault.Fault, did *deeds) func() {
	n := int((0.2 + f.Severity) * float64(r.opt.Fleet.Clients))
	now := r.since()
	for _, v := range plan(&r.opt.Fleet, r.opt.Seed+1, 0)[:min(n, r.opt.Fleet.Clients)] {
		v.from, v.until = now+time.Duration(r.roll()*float64(time.Second)), now+f.Duration
		r.clients.come(v)
		did.struck.Add(1)
	}
	return nil
}

// link troubles ways. A cut between relays and backends lets no connection come up: each pair's address is taken out.
func link(r *rig, f *fault.Fault, did *deeds) func() {
	l := f.Link
	end := r.ways.begin(l, did)
	if !l.Partitioned && !l.Buffered {
		return end
	}
	var walls []func()
	for _, b := range r.backendsNow() {
		for i := range r.relays {
			if l.Affects(fault.Relays, i, fault.Backends, b.number) || l.Affects(fault.Backends, b.number, fault.Relays, i) {
				w, err := wall(netip.AddrPortFrom(address(backendNet, i<<backendBits|b.number), uint16(b.port)))
				if err != nil {
					r.fail(fmt.Errorf("%s: %w", where(f), err))
					break
				}
				did.struck.Add(1)
				walls = append(walls, w)
			}
		}
	}
	return func() {
		for _, w := range walls {
			w()
		}
		end()
	}
}
